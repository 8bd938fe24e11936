#include "plugins/gateway/status_handler.h"

#include <utility>

#include "libs/explaining/explain_question.h"
#include "libs/explaining/explanation.h"
#include "libs/http_framing/reason_phrase.h"
#include "libs/kernel/log.h"
#include "plugins/gateway/local_response.h"

namespace flamingogauge {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kServiceUnavailable = 503;
constexpr char kMetricsPath[] = "/metrics";
constexpr char kStatePath[] = "/state";
constexpr char kExplainPath[] = "/explain";

std::string FormatTextResponse(const std::string& type,
                               const std::string& body,
                               int status = kOk) {
  return "HTTP/1.1 " + std::to_string(status) + " " +
         std::string(ReasonPhrase(status)) + "\r\nContent-Type: " + type +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

}  // namespace

StatusHandler::StatusHandler(StatusHandlerOptions options)
    : options_(std::move(options)) {}

void StatusHandler::OnRequest(const std::shared_ptr<HttpSession>& session,
                              ParsedRequest request,
                              MonotonicTime /*arrived_at*/) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == options_.ready_path) {
    session->Write(FormatLocalResponse(
        {.status = options_.is_ready() ? kOk : kServiceUnavailable,
         .keep_open = request.keep_alive}));
  } else if (path == kMetricsPath) {
    session->Write(
        FormatTextResponse("text/plain; version=0.0.4", options_.metrics()));
  } else if (path == kStatePath) {
    session->Write(FormatTextResponse("application/json", options_.state()));
  } else if (path == kExplainPath) {
    session->Write(Explain(request));
  } else {
    session->Write(FormatLocalResponse(
        {.status = kNotFound, .keep_open = request.keep_alive}));
  }
  session->Finish(request.keep_alive);
}

std::string StatusHandler::Explain(const ParsedRequest& request) const {
  constexpr char kJson[] = "application/json";
  if (request.method != "POST") {
    return FormatTextResponse(kJson, FormatError("allowed is POST"),
                              kMethodNotAllowed);
  }
  const Result<std::string> answer = options_.explain(request.body);
  if (!answer) {
    return FormatTextResponse(kJson, FormatError(answer.error().message),
                              kBadRequest);
  }
  return FormatTextResponse(kJson, answer.value());
}

CallerLimits StatusHandler::Limits() const {
  return {.max_body_bytes = ExplainQuestion::kMaxBytes};
}

void StatusHandler::OnRefused(int status, const std::string& reason) {
  static const Logger kLogger("status");
  kLogger.Warning("rejected status request with HTTP status " +
                  std::to_string(status) + ": " + reason);
}

}  // namespace flamingogauge
