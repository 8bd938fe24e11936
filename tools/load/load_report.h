#ifndef FLAMINGOGAUGE_TOOLS_LOAD_LOAD_REPORT_H_
#define FLAMINGOGAUGE_TOOLS_LOAD_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tools/load/load_runner.h"

namespace flamingogauge {

// Latencies in milliseconds.
struct LatencySummary {
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
};

// One row of the report: the requests of one class that were sent either to the
// entry hosts or directly to an engine.
struct LoadRow {
  std::string name;
  int tier = 0;
  bool direct = false;
  std::uint64_t sent = 0;
  std::uint64_t whole = 0;
  // Fraction of `sent` with a complete and correct response within the latency
  // limits of the class.
  double goodput = 0;
  std::uint64_t refused = 0;
  std::uint64_t wrong = 0;
  std::uint64_t truncated = 0;
  std::uint64_t broken = 0;
  // Latencies of complete responses.
  LatencySummary first_token;
  LatencySummary total;
};

struct LoadReportData {
  std::vector<LoadRow> rows;
  std::map<std::string, std::uint64_t> refusals;
  // First-token latency through the entry hosts minus the latency of direct
  // requests at the same percentile; only valid with --direct.
  bool has_added_latency = false;
  LatencySummary added_first_token;
};

LoadReportData MakeReport(const LoadSummary& summary,
                          const std::vector<RequestClass>& classes);

std::string FormatTable(const LoadSummary& summary, const LoadReportData& data);
std::string FormatJson(const LoadSummary& summary, const LoadReportData& data);

// Returns true if no response was incorrect or truncated and no request was
// executed more than once.
bool IsCorrect(const LoadSummary& summary, const LoadReportData& data);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TOOLS_LOAD_LOAD_REPORT_H_
