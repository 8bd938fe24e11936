#include "plugins/claims/claims_plugin.h"

#include <utility>

#include "libs/services/document_source.h"
#include "plugins/claims/claim_events.h"
#include "plugins/claims/claims_worker.h"

namespace flamingogauge {

ClaimsPlugin::ClaimsPlugin(ClaimsSettings settings)
    : settings_(settings), worker_(std::make_unique<ClaimsWorker>(settings)) {}

ClaimsPlugin::~ClaimsPlugin() = default;

std::string_view ClaimsPlugin::Name() const {
  return "claims";
}

Result<void> ClaimsPlugin::Initialize(ServiceRegistry& registry) {
  Result<void> checked = CheckClaimsSettings(settings_);
  if (!checked) {
    return checked.error();
  }
  return registry.Register<ClaimService>(kServiceName, this);
}

Result<void> ClaimsPlugin::ExtensionsInitialized(ServiceRegistry& registry) {
  Result<ObjectStore*> store =
      registry.Find<ObjectStore>(ObjectStore::kServiceName);
  if (!store) {
    return store.error();
  }
  Result<MembershipView*> membership =
      registry.Find<MembershipView>(MembershipView::kServiceName);
  Result<DocumentSource*> documents =
      registry.Find<DocumentSource>(DocumentSource::kServiceName);
  worker_->Start(store.value(), membership ? membership.value() : nullptr,
                 documents ? documents.value() : nullptr);
  return boost::outcome_v2::success();
}

void ClaimsPlugin::AboutToShutdown(std::function<void()> done) {
  worker_->Post(ClaimDrainEvent{.done = std::move(done)});
}

std::string ClaimsPlugin::DumpState() const {
  return worker_->DumpState();
}

void ClaimsPlugin::Acquire(ClaimRequest request, AcquireCallback callback) {
  worker_->Acquire(std::move(request), std::move(callback));
}

void ClaimsPlugin::Abandon(RequestId id) {
  worker_->Post(AbandonEvent{.id = id});
}

void ClaimsPlugin::Release(RequestId id, ReleaseCallback callback) {
  worker_->Post(ReleaseEvent{.id = id, .callback = std::move(callback)});
}

void ClaimsPlugin::Record(RequestId id, RecordedOutcome outcome) {
  worker_->Post(RecordEvent{.id = id, .outcome = std::move(outcome)});
}

void ClaimsPlugin::LeaveUnresolved(RequestId id) {
  worker_->Post(LeaveUnresolvedEvent{.id = id});
}

}  // namespace flamingogauge
