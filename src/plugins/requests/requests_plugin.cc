#include "plugins/requests/requests_plugin.h"

#include <algorithm>
#include <utility>

#include "libs/services/membership_view.h"

namespace flamingogauge {
namespace {

constexpr std::chrono::milliseconds kMaxWait{50};
constexpr std::chrono::milliseconds kRetryAfter{1000};
// Maximum number of messages handled before the timeouts are checked and the
// lock is released.
constexpr int kMaxBatchSize = 64;

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

RequestsPlugin::RequestsPlugin(RequestsSettings settings)
    : settings_(settings), metrics_(&registry_) {}

RequestsPlugin::~RequestsPlugin() {
  if (inbox_) {
    inbox_->Close();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

Result<void> RequestsPlugin::Initialize(ServiceRegistry& registry) {
  Result<void> checked = CheckSettings(settings_);
  if (!checked) {
    return checked;
  }
  inbox_ = std::make_shared<RequestInbox>(settings_.ring_capacity);
  Result<void> registered = registry.Register<MetricsRegistry>(
      MetricsRegistry::kServiceName, &registry_);
  return registered ? registry.Register<RequestIntake>(kServiceName, this)
                    : registered;
}

Result<void> RequestsPlugin::ExtensionsInitialized(ServiceRegistry& registry) {
  RequestServices services;
  auto document = registry.Find<DocumentSource>(DocumentSource::kServiceName);
  auto permits = registry.Find<PermitBroker>(PermitBroker::kServiceName);
  auto claims = registry.Find<ClaimService>(ClaimService::kServiceName);
  auto upstreams = registry.Find<UpstreamClient>(UpstreamClient::kServiceName);
  auto members = registry.Find<MembershipView>(MembershipView::kServiceName);
  if (!document || !permits || !claims || !upstreams || !members) {
    return !document    ? document.error()
           : !permits   ? permits.error()
           : !claims    ? claims.error()
           : !upstreams ? upstreams.error()
                        : members.error();
  }
  document_ = document.value();
  services.document = document.value();
  services.permits = permits.value();
  services.claims = claims.value();
  services.upstreams = upstreams.value();
  auto quarantine =
      registry.Find<QuarantineService>(QuarantineService::kServiceName);
  services.quarantine = quarantine ? quarantine.value() : nullptr;
  incarnation_ = members.value()->Self().incarnation;
  services.permits->SetListener(
      {.on_granted =
           [inbox = inbox_](Permit permit) {
             const RequestId id = permit.request;
             inbox->Post(id, PermitGrantedEvent{.permit = std::move(permit)});
           },
       .on_refused =
           [inbox = inbox_](RequestId id, Refusal refusal) {
             inbox->Post(id, PermitRefusedEvent{.refusal = std::move(refusal)});
           }});
  table_ = std::make_unique<RequestTable>(services, inbox_, &metrics_,
                                          settings_.max_requests);
  registry_.SetGauge("flamingogauge_requests_in_progress", [this] {
    return static_cast<double>(in_progress_.load());
  });
  thread_ = std::thread([this] { Run(); });
  return boost::outcome_v2::success();
}

RequestId RequestsPlugin::Submit(CallerRequest request,
                                 std::shared_ptr<CallerSink> sink) {
  const RequestId id{.incarnation = incarnation_, .sequence = next_sequence_++};
  Refusal refusal{.kind = RefusalKind::kDraining,
                  .run_status = request.idempotency_key.empty()
                                    ? RunStatus::kNotRun
                                    : RunStatus::kAttemptNotRun,
                  .message = "this host is being stopped",
                  .retry_after = kRetryAfter};
  if (!draining_) {
    if (inbox_->TrySubmit(id, {.request = std::move(request), .sink = sink})) {
      return id;
    }
    refusal.kind = RefusalKind::kUnavailable;
    refusal.message = "accept: queue of new requests is full";
  }
  metrics_.CountRefusal(refusal.kind);
  sink->SendRefusal(id, refusal);
  return id;
}

void RequestsPlugin::CallerGone(RequestId id) {
  inbox_->Post(id, CallerDisconnectedEvent{});
}

void RequestsPlugin::CallerDrained(RequestId id) {
  inbox_->Post(id, CallerBacklogEvent{});
}

void RequestsPlugin::BeginDrain() {
  if (!draining_.exchange(true)) {
    log_.Info("draining: new and queued requests are refused");
  }
}

bool RequestsPlugin::IsReady() const {
  return !draining_ && document_ != nullptr && document_->Current() != nullptr;
}

void RequestsPlugin::AboutToShutdown(std::function<void()> done) {
  BeginDrain();
  std::lock_guard<std::mutex> lock(mutex_);
  if (!table_) {
    done();
    return;
  }
  on_drained_ = std::move(done);
}

void RequestsPlugin::Run() {
  MonotonicTime next_timeout = MonotonicTime::max();
  while (!inbox_->IsClosed()) {
    auto message = inbox_->Take(std::min(Now() + kMaxWait, next_timeout));
    std::function<void()> on_drained;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      for (int it = 0; message && it < kMaxBatchSize; ++it) {
        table_->Handle(std::move(*message), Now());
        message = it + 1 < kMaxBatchSize ? inbox_->Take(MonotonicTime{})
                                         : std::nullopt;
      }
      table_->HandleTimeouts(Now());
      HandleDrain(Now());
      next_timeout = table_->NextTimeout();
      in_progress_ = table_->size();
      if (drain_handled_ && table_->size() == 0 && inbox_->Size() == 0) {
        on_drained = std::exchange(on_drained_, nullptr);
      }
    }
    if (on_drained) {
      log_.Info("drained: no requests in progress");
      on_drained();
    }
  }
}

void RequestsPlugin::HandleDrain(MonotonicTime now) {
  if (!draining_ || now < next_drain_at_) {
    return;
  }
  // Repeated for requests that were still queued or waiting for a retry.
  table_->Drain(now);
  drain_handled_ = true;
  next_drain_at_ = now + kMaxWait;
}

std::string RequestsPlugin::DumpState() const {
  std::lock_guard<std::mutex> lock(mutex_);
  std::string text = "{\"draining\":";
  text += draining_ ? "true" : "false";
  text += ",\"ring\":" + std::to_string(inbox_->Size());
  if (table_) {
    text += ",\"in_progress\":" + std::to_string(table_->size()) + "," +
            table_->Dump();
  }
  return text + "}";
}

}  // namespace flamingogauge
