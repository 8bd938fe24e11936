#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>

#include "libs/commandline/command_context.h"
#include "libs/commandline/table.h"
#include "libs/explaining/explain_question.h"

namespace flamingogauge {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kHttpBadRequest = 400;

// Formats with four digits after the point.
std::string FormatCost(double seconds) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.4f", seconds);
  return buf.data();
}

std::string Milliseconds(const Json& answer, const char* name) {
  const auto it = answer.find(name);
  return it == answer.end() ? "unknown"
                            : std::to_string(it->get<std::int64_t>()) + " ms";
}

// Sets `out` to a count given as an option. Returns false if it is not one.
bool ReadCount(const Arguments& arguments,
               const char* name,
               std::uint64_t& out) {
  if (!arguments.Has(name)) {
    return true;
  }
  const std::optional<std::uint64_t> value = arguments.GetNumber(name);
  out = value.value_or(0);
  return value.has_value();
}

// Reads the question from the arguments. Error: the option at fault.
Result<ExplainQuestion> ReadQuestion(const Arguments& arguments) {
  ExplainQuestion question{.method = arguments.positional[0],
                           .host = arguments.Get("host"),
                           .target = arguments.positional[1],
                           .key = arguments.Get("key"),
                           .workspace = arguments.Get("workspace"),
                           .request_id = arguments.Get("request_id"),
                           .prompt_prefix = arguments.Get("prompt_prefix")};
  std::uint64_t time_limit_ms = 0;
  const std::array<std::pair<const char*, std::uint64_t*>, 4> counts{
      {{"prompt_tokens", &question.prompt_tokens},
       {"output_tokens", &question.output_tokens},
       {"expected_output_tokens", &question.expected_output_tokens},
       {"time_limit_ms", &time_limit_ms}}};
  for (const auto& [name, out] : counts) {
    if (!ReadCount(arguments, name, *out)) {
      return Error{.code = ErrorCode::kInvalidArgument,
                   .step = "parse arguments",
                   .peer = "",
                   .message = std::string("--") + name +
                              " must be a non-negative integer"};
    }
  }
  if (arguments.Has("time_limit_ms")) {
    question.time_limit = std::chrono::milliseconds(time_limit_ms);
  }
  if (arguments.Has("body")) {
    Result<std::string> body = ReadInput(arguments.Get("body"));
    if (!body) {
      return body.error();
    }
    question.body = std::move(body.value());
  }
  return question;
}

// One line: what would become of the request.
std::string FormatOutcome(const Json& answer) {
  const std::string outcome = answer.value("outcome", "");
  if (outcome == "sent") {
    return "sent to " + answer.value("upstream", "") + " now";
  }
  if (outcome == "waits") {
    return answer.contains("reason")
               ? "waits: " + answer.value("reason", "")
               : "waits about " + Milliseconds(answer, "expected_wait_ms");
  }
  std::string text = "refused with " +
                     std::to_string(answer.value("status", 0)) + ": " +
                     answer.value("reason", "");
  if (answer.contains("retry_after_ms")) {
    text += "; may return after " + Milliseconds(answer, "retry_after_ms");
  }
  return text;
}

std::string OrNone(const std::string& text) {
  return text.empty() ? "none" : text;
}

void PrintRequest(const Json& answer) {
  std::printf("%s\n", FormatOutcome(answer).c_str());
  std::printf("decided by %s on the view of %s, which is %s old\n",
              answer.value("decided_by", "").c_str(),
              answer.value("host", "").c_str(),
              Milliseconds(answer, "view_age_ms").c_str());
  std::printf("route %s of document version %llu, confirmed %s ago\n",
              OrNone(answer.value("route", "")).c_str(),
              static_cast<unsigned long long>(
                  answer.value("routing_version", std::uint64_t{0})),
              Milliseconds(answer, "routing_age_ms").c_str());
  std::printf("service %s, workspace %s",
              OrNone(answer.value("service", "")).c_str(),
              OrNone(answer.value("workspace", "")).c_str());
  if (answer.contains("priority")) {
    std::printf(
        ", priority %d, late in %s, given up in %s, %g units of the "
        "limit",
        answer.value("priority", 0), Milliseconds(answer, "due_in_ms").c_str(),
        Milliseconds(answer, "deadline_in_ms").c_str(),
        answer.value("limit_units", 0.0));
  }
  if (answer.contains("ahead")) {
    std::printf(", %d requests before it", answer.value("ahead", 0));
  }
  std::puts("");
}

void PrintCandidates(const Json& answer) {
  std::vector<std::vector<std::string>> rows{{"UPSTREAM", "DATA CENTRE",
                                              "VERSION", "STATE", "RUNNING",
                                              "COST S", "PARTS"}};
  for (const Json& it : answer.value("candidates", Json::array())) {
    std::string parts;
    const Json cost_parts = it.value("cost_parts_s", Json::object());
    for (const auto& [name, seconds] : cost_parts.items()) {
      parts += (parts.empty() ? "" : ", ") + name + " " +
               FormatCost(seconds.get<double>());
    }
    rows.push_back(
        {it.value("upstream", ""), it.value("data_centre", ""),
         it.value("version", ""), it.value("state", ""),
         std::to_string(it.value("running", 0)) + " of " +
             std::to_string(it.value("places", 0)),
         it.contains("cost_s") ? FormatCost(it.value("cost_s", 0.0)) : "-",
         parts});
  }
  if (rows.size() > 1) {
    std::fputs(FormatTable(rows).c_str(), stdout);
  }
  const int more = answer.value("candidates_not_listed", 0);
  if (more > 0) {
    std::printf("and %d more upstreams\n", more);
  }
}

int RunExplain(const CommandContext& context) {
  const std::string address = context.arguments.Get("gateway_status_address");
  if (address.empty()) {
    return ReportError(kUsage,
                       "--gateway_status_address=IP:PORT of the host is "
                       "required, or FLAGS_gateway_status_address");
  }
  const Result<ExplainQuestion> question = ReadQuestion(context.arguments);
  if (!question) {
    return ReportError(kUsage, question.error().message);
  }
  const std::string text = FormatExplainQuestion(question.value());
  const Result<ExplainQuestion> checked = ParseExplainQuestion(text);
  if (!checked) {
    return ReportError(kUsage, checked.error().message);
  }
  // The status address asks for no token.
  const OperatorClient client(address, "");
  const auto response = client.Call("POST", "/explain", text);
  if (!response) {
    return ReportError(kUnreachable,
                       ToString(response.error()) +
                           "; check --gateway_status_address and that the "
                           "host is running");
  }
  const Json answer = Json::parse(response.value().body, nullptr, false);
  if (response.value().status == kHttpBadRequest && answer.is_object()) {
    return ReportError(kUsage, answer["error"].value("message", ""));
  }
  if (!IsSuccess(response) || !answer.is_object()) {
    return ReportFailure(response);
  }
  if (context.json_output) {
    PrintJson(response.value().body);
    return kDone;
  }
  PrintRequest(answer);
  PrintCandidates(answer);
  return kDone;
}

}  // namespace

std::vector<Command> PlacementCommands() {
  return {
      {.name = "placement explain",
       .synopsis = "METHOD PATH --gateway_status_address=IP:PORT "
                   "[--host=NAME] [--workspace=NAME] [--time_limit_ms=N] "
                   "[--prompt_tokens=N] [--output_tokens=N] "
                   "[--expected_output_tokens=N] "
                   "[--prompt_prefix=ID:TOKENS,...] [--request_id=ID] "
                   "[--body=FILE]",
       .summary = "shows where a request would go now and why, without sending "
                  "it; the key\n      instead of the workspace: FLAGS_key",
       .options = {{"gateway_status_address"},
                   {"host"},
                   {"key"},
                   {"workspace"},
                   {"time_limit_ms"},
                   {"prompt_tokens"},
                   {"output_tokens"},
                   {"expected_output_tokens"},
                   {"prompt_prefix"},
                   {"request_id"},
                   {"body"}},
       .min_positional = 2,
       .max_positional = 2,
       .run = &RunExplain},
  };
}

}  // namespace flamingogauge
