#include "tools/load/load_report.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace flamingogauge {
namespace {

double Milliseconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

LatencySummary SummariseLatency(std::vector<double> values) {
  if (values.empty()) {
    return {};
  }
  std::sort(values.begin(), values.end());
  const auto at = [&values](double part) {
    return values[static_cast<std::size_t>(
        part * static_cast<double>(values.size() - 1))];
  };
  return {.p50 = at(0.50), .p95 = at(0.95), .p99 = at(0.99)};
}

struct RowSamples {
  std::vector<double> first;
  std::vector<double> total;
  std::uint64_t good = 0;
};

void Count(const LoadResult& result,
           const RequestClass& request_class,
           LoadRow& row,
           RowSamples& times) {
  ++row.sent;
  switch (result.end) {
    case LoadOutcome::kSucceeded:
      ++row.whole;
      times.first.push_back(Milliseconds(result.first_token));
      times.total.push_back(Milliseconds(result.total));
      if (result.first_token <= request_class.first_token_target &&
          result.total <= request_class.deadline) {
        ++times.good;
      }
      break;
    case LoadOutcome::kRefused:
      ++row.refused;
      break;
    case LoadOutcome::kTruncated:
      ++row.truncated;
      break;
    case LoadOutcome::kIncorrectContent:
      ++row.wrong;
      break;
    case LoadOutcome::kNoConnection:
    case LoadOutcome::kBroken:
    case LoadOutcome::kTimeout:
      ++row.broken;
      break;
  }
}

nlohmann::json ToJson(const LatencySummary& latency) {
  return {{"p50_ms", latency.p50},
          {"p95_ms", latency.p95},
          {"p99_ms", latency.p99}};
}

std::string Line(const char* format, const LoadRow& row) {
  std::array<char, 256> buf{};
  std::snprintf(buf.data(), buf.size(), format, row.name.c_str(), row.tier,
                row.direct ? "direct" : "hosts",
                static_cast<unsigned long long>(row.sent), 100 * row.goodput,
                static_cast<unsigned long long>(row.refused),
                static_cast<unsigned long long>(row.broken),
                static_cast<unsigned long long>(row.wrong),
                static_cast<unsigned long long>(row.truncated),
                row.first_token.p50, row.first_token.p95, row.first_token.p99,
                row.total.p50, row.total.p99);
  return buf.data();
}

std::string Number(const char* name, std::uint64_t value) {
  return std::string(name) + ": " + std::to_string(value) + "\n";
}

}  // namespace

LoadReportData MakeReport(const LoadSummary& summary,
                          const std::vector<RequestClass>& classes) {
  std::map<std::pair<std::size_t, bool>, std::pair<LoadRow, RowSamples>> rows;
  LoadReportData data;
  std::array<std::vector<double>, 2> first_token_by_path;
  for (const LoadResult& it : summary.results) {
    auto& [row, times] = rows[{it.class_index, it.direct}];
    const RequestClass& request_class = classes[it.class_index];
    row.name = request_class.name;
    row.tier = request_class.tier;
    row.direct = it.direct;
    Count(it, request_class, row, times);
    if (it.end == LoadOutcome::kRefused) {
      ++data.refusals[it.refusal];
    }
    if (it.end == LoadOutcome::kSucceeded &&
        request_class.kind == LoadKind::kChat) {
      first_token_by_path[it.direct ? 1 : 0].push_back(
          Milliseconds(it.first_token));
    }
  }
  for (auto& it : rows) {
    auto& [row, times] = it.second;
    row.goodput =
        static_cast<double>(times.good) / static_cast<double>(row.sent);
    row.first_token = SummariseLatency(std::move(times.first));
    row.total = SummariseLatency(std::move(times.total));
    data.rows.push_back(std::move(row));
  }
  data.has_added_latency =
      !first_token_by_path[0].empty() && !first_token_by_path[1].empty();
  if (data.has_added_latency) {
    const LatencySummary hosts =
        SummariseLatency(std::move(first_token_by_path[0]));
    const LatencySummary direct =
        SummariseLatency(std::move(first_token_by_path[1]));
    data.added_first_token = {.p50 = hosts.p50 - direct.p50,
                              .p95 = hosts.p95 - direct.p95,
                              .p99 = hosts.p99 - direct.p99};
  }
  return data;
}

std::string FormatTable(const LoadSummary& summary,
                        const LoadReportData& data) {
  std::string text =
      "class             tier way       sent goodput refused broken wrong "
      "short | first token p50/p95/p99 ms | total p50/p99 ms\n";
  for (const LoadRow& it : data.rows) {
    text += Line(
        "%-17s %4d %-6s %7llu %6.1f%% %7llu %6llu %5llu %5llu | "
        "%8.2f %8.2f %8.2f | %8.2f %8.2f\n",
        it);
  }
  for (const auto& it : data.refusals) {
    text += "refused (" + it.first + "): " + std::to_string(it.second) + "\n";
  }
  if (data.has_added_latency) {
    std::array<char, 128> buf{};
    std::snprintf(buf.data(), buf.size(),
                  "added to the first token: p50 %.3f ms, p95 %.3f ms, p99 "
                  "%.3f ms\n",
                  data.added_first_token.p50, data.added_first_token.p95,
                  data.added_first_token.p99);
    text += buf.data();
  }
  text += Number("not sent, too many open", summary.not_sent);
  text += Number("bookings executed", summary.bookings_executed);
  text += Number("bookings executed again", summary.duplicate_bookings);
  text += Number("prompts executed", summary.prompts_executed);
  text += Number("prompts executed again", summary.duplicate_prompts);
  if (!summary.counts_complete) {
    text += "some execution counts could not be read\n";
  }
  std::array<char, 64> buf{};
  std::snprintf(buf.data(), buf.size(), "longest start delay: %.2f ms\n",
                Milliseconds(summary.longest_start_delay));
  return text + buf.data();
}

std::string FormatJson(const LoadSummary& summary, const LoadReportData& data) {
  auto rows = nlohmann::json::array();
  for (const LoadRow& it : data.rows) {
    rows.push_back({{"class", it.name},
                    {"tier", it.tier},
                    {"way", it.direct ? "direct" : "hosts"},
                    {"sent", it.sent},
                    {"whole", it.whole},
                    {"goodput", it.goodput},
                    {"refused", it.refused},
                    {"broken", it.broken},
                    {"wrong", it.wrong},
                    {"short", it.truncated},
                    {"first_token", ToJson(it.first_token)},
                    {"total", ToJson(it.total)}});
  }
  nlohmann::json json{
      {"rows", std::move(rows)},
      {"refusals", data.refusals},
      {"not_sent", summary.not_sent},
      {"bookings_executed", summary.bookings_executed},
      {"duplicate_bookings", summary.duplicate_bookings},
      {"prompts_executed", summary.prompts_executed},
      {"duplicate_prompts", summary.duplicate_prompts},
      {"counts_complete", summary.counts_complete},
      {"longest_start_delay_ms", Milliseconds(summary.longest_start_delay)}};
  if (data.has_added_latency) {
    json["added_first_token"] = ToJson(data.added_first_token);
  }
  return json.dump(2) + "\n";
}

bool IsCorrect(const LoadSummary& summary, const LoadReportData& data) {
  const bool answers = std::all_of(
      data.rows.begin(), data.rows.end(),
      [](const LoadRow& it) { return it.wrong == 0 && it.truncated == 0; });
  return answers && summary.duplicate_bookings == 0 &&
         summary.duplicate_prompts == 0;
}

}  // namespace flamingogauge
