#include "plugins/operators/operators_plugin.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <nlohmann/json.hpp>
#include <utility>

#include "libs/limits/host_limits.h"
#include "plugins/operators/query_string.h"

namespace flamingogauge {
namespace {

using Json = nlohmann::ordered_json;
using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

constexpr char kJsonType[] = "application/json";
constexpr char kTextType[] = "text/plain; charset=utf-8";
constexpr std::size_t kMaxListedMembers = 500;
constexpr std::size_t kMaxDocumentBytes = std::size_t{16} << 20U;
// Operators are few; most of a host's sockets and memory is for callers.
constexpr std::size_t kConnectionFraction = 16;
constexpr std::size_t kMinConnections = 8;
constexpr std::size_t kMaxConnections = 256;
constexpr std::size_t kHeldFraction = 8;
constexpr std::string_view kQuarantinePath = "/quarantine/";

Digest Hash(std::string_view text) {
  Digest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  return digest;
}

HttpServer::ErrorAnswer FormatError(int /*status*/, const std::string& text) {
  return {.content_type = kJsonType,
          .body = Json{{"error", {{"message", text}}}}.dump(
              -1, ' ', false, Json::error_handler_t::replace)};
}

}  // namespace

OperatorsPlugin::OperatorsPlugin(OperatorsSettings settings)
    : settings_(std::move(settings)) {}

OperatorsPlugin::~OperatorsPlugin() = default;

Result<void> OperatorsPlugin::Initialize(ServiceRegistry& /*registry*/) {
  return CheckSettings(settings_);
}

Result<void> OperatorsPlugin::FindServices(ServiceRegistry& registry) {
  auto dumper = registry.Find<StateDumper>(StateDumper::kServiceName);
  auto metrics = registry.Find<MetricsRegistry>(MetricsRegistry::kServiceName);
  auto intake = registry.Find<RequestIntake>(RequestIntake::kServiceName);
  auto document = registry.Find<DocumentSource>(DocumentSource::kServiceName);
  auto editor = registry.Find<DocumentEditor>(DocumentEditor::kServiceName);
  auto members = registry.Find<MembershipView>(MembershipView::kServiceName);
  if (!dumper || !metrics || !intake || !document || !editor || !members) {
    return !dumper     ? dumper.error()
           : !metrics  ? metrics.error()
           : !intake   ? intake.error()
           : !document ? document.error()
           : !editor   ? editor.error()
                       : members.error();
  }
  dumper_ = dumper.value();
  metrics_ = metrics.value();
  intake_ = intake.value();
  document_ = document.value();
  members_ = members.value();
  endpoints_ = std::make_unique<DocumentEndpoints>(editor.value());
  auto quarantine =
      registry.Find<QuarantineService>(QuarantineService::kServiceName);
  quarantine_ = quarantine ? quarantine.value() : nullptr;
  return boost::outcome_v2::success();
}

Result<void> OperatorsPlugin::ExtensionsInitialized(ServiceRegistry& registry) {
  Result<void> found = FindServices(registry);
  if (!found) {
    return found;
  }
  const HostLimits limits = HostLimitsFromFlags();
  server_ = std::make_unique<HttpServer>(
      HttpServerSettings{
          .address = settings_.address,
          .threads = 1,
          .max_request_bytes = kMaxDocumentBytes,
          .max_connections =
              std::clamp(limits.MaxCallerConnections() / kConnectionFraction,
                         kMinConnections, kMaxConnections),
          // A document is received, or read by an operator.
          .max_held_bytes = std::max(limits.memory_bytes / kHeldFraction,
                                     2 * kMaxDocumentBytes),
          .max_outstanding_bytes = 2 * kMaxDocumentBytes},
      [this](const HttpRequest& request,
             const std::shared_ptr<HttpExchange>& exchange) {
        Handle(request, exchange);
      },
      FormatError);
  Result<void> started = server_->Start();
  if (started) {
    log_.Info("listening on " + server_->ListeningAddress());
  }
  return started;
}

void OperatorsPlugin::Handle(const HttpRequest& request,
                             const std::shared_ptr<HttpExchange>& exchange) {
  if (HandleProbe(request, *exchange)) {
    return;
  }
  if (!IsAuthorized(request)) {
    SendOperatorError(*exchange, 401,
                      "the header Authorization: Bearer <operators' token> is "
                      "missing or wrong");
  } else if (request.path == "/metrics") {
    exchange->SendWhole(200, {}, kTextType, metrics_->Expose());
  } else if (request.path == "/debug/state") {
    exchange->SendWhole(200, {}, kJsonType, dumper_->DumpAll());
  } else if (request.path == "/status") {
    exchange->SendWhole(200, {}, kJsonType, Status());
  } else if (request.path == "/drain" && request.method == "POST") {
    HandleDrain(*exchange);
  } else if (request.path.rfind("/quarantine", 0) == 0) {
    HandleQuarantine(request, *exchange);
  } else if (request.path.rfind("/document", 0) == 0) {
    endpoints_->Handle(request, exchange);
  } else {
    SendOperatorError(*exchange, 404,
                      request.method + " " + request.path + " is unknown");
  }
}

bool OperatorsPlugin::HandleProbe(const HttpRequest& request,
                                  HttpExchange& exchange) {
  if (request.path == "/healthz") {
    exchange.SendWhole(200, {}, kTextType, "ok\n");
    return true;
  }
  if (request.path == "/readyz") {
    const bool ready = intake_->IsReady();
    exchange.SendWhole(ready ? 200 : 503, {}, kTextType,
                       ready ? "ready\n" : "not ready\n");
    return true;
  }
  return false;
}

bool OperatorsPlugin::IsAuthorized(const HttpRequest& request) const {
  // Digests have equal lengths, so that the duration of the comparison reveals
  // nothing about the token.
  const Digest given = Hash(request.Header("authorization"));
  const Digest expected = Hash("Bearer " + settings_.token);
  return CRYPTO_memcmp(given.data(), expected.data(), expected.size()) == 0;
}

void OperatorsPlugin::HandleDrain(HttpExchange& exchange) {
  log_.Info("drain requested by an operator");
  intake_->BeginDrain();
  exchange.SendWhole(200, {}, kJsonType, "{\"draining\":true}");
  // main() handles the signal as a graceful shutdown: the process exits when
  // nothing is in flight.
  ::kill(::getpid(), SIGTERM);
}

void OperatorsPlugin::HandleQuarantine(const HttpRequest& request,
                                       HttpExchange& exchange) {
  if (quarantine_ == nullptr) {
    SendOperatorError(exchange, 404, "this host has no quarantine");
    return;
  }
  if (request.method == "GET") {
    Json list = Json::array();
    for (const QuarantineEntry& it : quarantine_->List()) {
      list.push_back({{"fingerprint", ToString(it.fingerprint)},
                      {"time_left_ms", it.time_left.count()}});
    }
    exchange.SendWhole(200, {}, kJsonType, list.dump());
    return;
  }
  if (request.method != "DELETE" ||
      request.path.size() <= kQuarantinePath.size()) {
    SendOperatorError(exchange, 404,
                      "allowed are GET /quarantine and DELETE "
                      "/quarantine/<fingerprint>");
    return;
  }
  const std::string name = request.path.substr(kQuarantinePath.size());
  for (const QuarantineEntry& it : quarantine_->List()) {
    if (ToString(it.fingerprint) == name) {
      const bool released = quarantine_->Release(it.fingerprint);
      log_.Info("quarantine of " + name + " released by an operator");
      exchange.SendWhole(200, {}, kJsonType,
                         Json{{"released", released}}.dump());
      return;
    }
  }
  SendOperatorError(exchange, 404, "no quarantine of " + name);
}

std::string OperatorsPlugin::Status() const {
  const Member& self = members_->Self();
  const auto document = document_->Current();
  Json status = {{"host", self.host},
                 {"data_centre", self.data_centre},
                 {"region", self.region},
                 {"incarnation", ToString(self.incarnation)},
                 {"ready", intake_->IsReady()},
                 {"document_revision", document ? document->revision : 0},
                 {"members", Json::array()}};
  const auto members = members_->Current();
  for (const Member& it : *members) {
    if (status["members"].size() == kMaxListedMembers) {
      break;
    }
    status["members"].push_back({{"host", it.host},
                                 {"data_centre", it.data_centre},
                                 {"state", ToString(it.state)},
                                 {"document_revision", it.document_revision}});
  }
  return status.dump();
}

void OperatorsPlugin::AboutToShutdown(std::function<void()> done) {
  // Operators are served until the process exits.
  done();
}

std::string OperatorsPlugin::ListeningAddress() const {
  return server_ ? server_->ListeningAddress() : std::string();
}

std::string OperatorsPlugin::DumpState() const {
  return "{\"address\":\"" + ListeningAddress() + "\"}";
}

}  // namespace flamingogauge
