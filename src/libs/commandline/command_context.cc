#include "libs/commandline/command_context.h"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "libs/document/document_json.h"

namespace flamingogauge {
namespace {

using nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpUnauthorized = 401;
constexpr int kHttpConflict = 409;
constexpr int kHttpUnprocessable = 422;
constexpr int kHttpUnavailable = 503;
constexpr int kHttpTimeout = 504;

// Returns the message of {"error":{"message":...}}, or the whole body if there
// is none.
std::string ErrorMessage(const OperatorResponse& response) {
  const json body = json::parse(response.body, nullptr, false);
  if (body.is_object() && body.contains("error") && body["error"].is_object() &&
      body["error"].contains("message") &&
      body["error"]["message"].is_string()) {
    return body["error"]["message"].get<std::string>();
  }
  return response.body.empty() ? "no reason given" : response.body;
}

std::string StringField(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

DocumentFaults ParseFaults(const OperatorResponse& response) {
  DocumentFaults faults;
  const json body = json::parse(response.body, nullptr, false);
  if (!body.is_object() || !body.contains("error") ||
      !body["error"].is_object() || !body["error"].contains("faults")) {
    return faults;
  }
  for (const json& it : body["error"]["faults"]) {
    if (it.is_object()) {
      faults.push_back({.section = StringField(it, "section"),
                        .path = StringField(it, "path"),
                        .value = StringField(it, "value"),
                        .allowed = StringField(it, "allowed")});
    }
  }
  return faults;
}

}  // namespace

int ReportError(int status, const std::string& message) {
  std::fprintf(stderr, "flamingogauge: %s\n", message.c_str());
  return status;
}

int ReportFaults(const DocumentFaults& faults) {
  for (const DocumentFault& it : faults) {
    // These texts describe the fault rather than the allowed values.
    const bool is_sentence = it.allowed.starts_with("unknown") ||
                             it.allowed.starts_with("is missing");
    std::fprintf(stderr, "%s%s: %s: %s%s\n", it.section.c_str(),
                 it.path.c_str(), it.value.c_str(),
                 is_sentence ? "" : "allowed: ", it.allowed.c_str());
  }
  return ReportError(kInvalidDocument,
                     std::to_string(faults.size()) +
                         " fault(s); nothing was changed. Correct them and "
                         "try again");
}

int ReportFailure(const Result<OperatorResponse>& response) {
  if (!response) {
    if (response.error().code == ErrorCode::kUnknownOutcome) {
      return ReportError(kOutcomeUnknown,
                         ToString(response.error()) +
                             "; the change may have taken effect, see "
                             "'flamingogauge document history' and "
                             "'flamingogauge status'");
    }
    return ReportError(kUnreachable,
                       ToString(response.error()) +
                           "; check --operator_address and that the host "
                           "is running, or try another host");
  }
  const OperatorResponse& answer = response.value();
  switch (answer.status) {
    case kHttpUnauthorized:
      return ReportError(kTokenRefused,
                         ErrorMessage(answer) +
                             "; set --operator_token or FLAGS_operator_token");
    case kHttpConflict:
      return ReportError(kConflict,
                         ErrorMessage(answer) +
                             "; read the current revision with "
                             "'flamingogauge document get', repeat the change "
                             "on it, and apply it with --expected-revision set "
                             "to its number");
    case kHttpUnprocessable:
      return ReportFaults(ParseFaults(answer));
    case kHttpUnavailable:
      return ReportError(kUnreachable,
                         ErrorMessage(answer) + "; try again in a few seconds");
    case kHttpTimeout:
      return ReportError(kOutcomeUnknown,
                         ErrorMessage(answer) +
                             "; check 'flamingogauge document history' for the "
                             "change before trying again");
    default:
      return ReportError(kFailed, "the host returned status " +
                                      std::to_string(answer.status) + ": " +
                                      ErrorMessage(answer));
  }
}

bool IsSuccess(const Result<OperatorResponse>& response) {
  return response && response.value().status == kHttpOk;
}

Result<std::string> ReadInput(const std::string& path) {
  if (path == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return Error{.code = ErrorCode::kNotFound,
                 .step = "read file",
                 .peer = "",
                 .message = path + " cannot be read"};
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

void PrintJson(const std::string& text) {
  std::puts(IndentJson(text).c_str());
}

}  // namespace flamingogauge
