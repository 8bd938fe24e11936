#include "plugins/callers/callers_plugin.h"

#include <utility>

#include "plugins/callers/caller_errors.h"
#include "plugins/callers/http_caller_sink.h"

namespace flamingogauge {
namespace {

constexpr std::string_view kBearer = "Bearer ";

std::string BearerKey(const HttpRequest& request) {
  const std::string value = request.Header("authorization");
  return value.rfind(kBearer, 0) == 0 ? value.substr(kBearer.size())
                                      : std::string();
}

// Formats the response to a request that could not be parsed and has no request
// id. The run status is limited to this attempt, because the unparsed request
// may have carried an idempotency key.
HttpServer::ErrorAnswer FormatError(int status, const std::string& text) {
  const Refusal refusal{.kind = status == 413 ? RefusalKind::kTooLarge
                                              : RefusalKind::kInvalidRequest,
                        .run_status = RunStatus::kAttemptNotRun,
                        .message = "read request: " + text};
  return {.headers = RefusalHeaders(refusal, ""),
          .content_type = "application/json",
          .body = FormatRefusal(refusal, "")};
}

}  // namespace

CallersPlugin::CallersPlugin(CallersSettings settings)
    : settings_(std::move(settings)) {}

CallersPlugin::~CallersPlugin() = default;

Result<void> CallersPlugin::Initialize(ServiceRegistry& /*registry*/) {
  return CheckSettings(settings_);
}

Result<void> CallersPlugin::ExtensionsInitialized(ServiceRegistry& registry) {
  auto intake = registry.Find<RequestIntake>(RequestIntake::kServiceName);
  if (!intake) {
    return intake.error();
  }
  intake_ = intake.value();
  server_ = std::make_unique<HttpServer>(
      settings_.server,
      [this](HttpRequest request,
             const std::shared_ptr<HttpExchange>& exchange) {
        Handle(std::move(request), exchange);
      },
      FormatError);
  Result<void> started = server_->Start();
  if (started) {
    log_.Info("listening on " + server_->ListeningAddress());
  }
  return started;
}

void CallersPlugin::Handle(HttpRequest request,
                           const std::shared_ptr<HttpExchange>& exchange) {
  const RequestId id =
      intake_->Submit({.method = std::move(request.method),
                       .path = std::move(request.path),
                       .query = std::move(request.query),
                       .bearer_key = BearerKey(request),
                       .idempotency_key = request.Header("idempotency-key"),
                       .tier = request.Header("flamingogauge-tier"),
                       .content_type = request.Header("content-type"),
                       .body = std::move(request.body)},
                      std::make_shared<HttpCallerSink>(exchange));
  exchange->SetListener([intake = intake_, id] { intake->CallerGone(id); },
                        [intake = intake_, id] { intake->CallerDrained(id); });
}

void CallersPlugin::AboutToShutdown(std::function<void()> done) {
  if (!server_) {
    done();
    return;
  }
  intake_->BeginDrain();
  server_->Drain(std::move(done));
}

std::string CallersPlugin::ListeningAddress() const {
  return server_ ? server_->ListeningAddress() : std::string();
}

std::string CallersPlugin::DumpState() const {
  if (!server_) {
    return "{}";
  }
  const HttpServerCounts counts = server_->Counts();
  return "{\"address\":\"" + server_->ListeningAddress() +
         "\",\"connections\":" + std::to_string(counts.connections) +
         ",\"requests\":" + std::to_string(counts.requests) +
         ",\"dropped_slow_readers\":" +
         std::to_string(counts.dropped_slow_readers) +
         ",\"timed_out\":" + std::to_string(counts.timed_out) +
         ",\"rejected\":" + std::to_string(counts.rejected) +
         ",\"closed_for_memory\":" + std::to_string(counts.closed_for_memory) +
         ",\"closed_for_room\":" + std::to_string(counts.closed_for_room) +
         ",\"held_bytes\":" + std::to_string(counts.held_bytes) + "}";
}

}  // namespace flamingogauge
