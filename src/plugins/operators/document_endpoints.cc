#include "plugins/operators/document_endpoints.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "plugins/operators/query_string.h"

namespace flamingogauge {
namespace {

using Json = nlohmann::ordered_json;

constexpr char kJsonType[] = "application/json";
constexpr std::string_view kPrefix = "/document/";

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

int StatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return 400;
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kAlreadyExists:
    case ErrorCode::kVersionMismatch:
      return 409;
    case ErrorCode::kTimeout:
    case ErrorCode::kUnknownOutcome:
      return 504;
    default:
      return 503;
  }
}

void SendResult(HttpExchange& exchange, const Result<std::string>& text) {
  if (text) {
    exchange.SendWhole(200, {}, kJsonType, text.value());
  } else {
    SendOperatorError(exchange, StatusOf(text.error().code),
                      ToString(text.error()));
  }
}

void SendOutcome(HttpExchange& exchange, const Result<EditOutcome>& result) {
  if (!result) {
    SendOperatorError(exchange, StatusOf(result.error().code),
                      ToString(result.error()));
    return;
  }
  const EditOutcome& outcome = result.value();
  if (outcome.revision != 0) {
    exchange.SendWhole(200, {}, kJsonType,
                       Dump({{"revision", outcome.revision}}));
    return;
  }
  if (!outcome.conflict.empty()) {
    SendOperatorError(exchange, 409, outcome.conflict);
    return;
  }
  Json faults = Json::array();
  for (const DocumentFault& it : outcome.faults) {
    faults.push_back({{"section", it.section},
                      {"path", it.path},
                      {"value", it.value},
                      {"allowed", it.allowed}});
  }
  exchange.SendWhole(422, {}, kJsonType,
                     Dump({{"error",
                            {{"message", "the edit is not valid"},
                             {"faults", std::move(faults)}}}}));
}

}  // namespace

void SendOperatorError(HttpExchange& exchange,
                       int status,
                       const std::string& message) {
  exchange.SendWhole(status, {}, kJsonType,
                     Dump({{"error", {{"message", message}}}}));
}

void DocumentEndpoints::Handle(const HttpRequest& request,
                               const std::shared_ptr<HttpExchange>& exchange) {
  if (request.method == "GET" && request.path == "/document/history") {
    editor_->GetHistory([exchange](const Result<std::string>& text) {
      SendResult(*exchange, text);
    });
  } else if (request.method == "GET" && request.path == "/document") {
    HandleGet(request, exchange);
  } else if (request.method == "POST" && request.path.size() > kPrefix.size()) {
    HandleEdit(request, exchange);
  } else {
    SendOperatorError(*exchange, 404,
                      request.method + " " + request.path +
                          " is unknown, allowed are GET /document, GET "
                          "/document/history and POST /document/<section>");
  }
}

void DocumentEndpoints::HandleGet(
    const HttpRequest& request,
    const std::shared_ptr<HttpExchange>& exchange) {
  const std::string text = QueryValue(request.query, "revision").value_or("0");
  const auto revision = ParseNumber(text);
  if (!revision) {
    SendOperatorError(*exchange, 400,
                      "revision is " + text + ", allowed is a whole number");
    return;
  }
  editor_->GetText(*revision, [exchange](const Result<std::string>& document) {
    SendResult(*exchange, document);
  });
}

void DocumentEndpoints::HandleEdit(
    const HttpRequest& request,
    const std::shared_ptr<HttpExchange>& exchange) {
  const std::string text =
      QueryValue(request.query, "expected_revision").value_or("");
  const auto revision = ParseNumber(text);
  const std::string author = QueryValue(request.query, "author").value_or("");
  if (!revision || author.empty()) {
    SendOperatorError(*exchange, 400,
                      !revision ? "expected_revision is \"" + text +
                                      "\", allowed is a whole number"
                                : "author is missing");
    return;
  }
  editor_->Apply({.section = request.path.substr(kPrefix.size()),
                  .text = request.body,
                  .expected_revision = *revision,
                  .author = author},
                 [exchange](const Result<EditOutcome>& outcome) {
                   SendOutcome(*exchange, outcome);
                 });
}

}  // namespace flamingogauge
