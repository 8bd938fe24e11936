#ifndef FLAMINGOGAUGE_PLUGINS_CLAIMS_CLAIMS_WORKER_H_
#define FLAMINGOGAUGE_PLUGINS_CLAIMS_CLAIMS_WORKER_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libs/claims/claim_attempt.h"
#include "libs/claims/claim_epoch_clock.h"
#include "libs/claims/claim_sweeper.h"
#include "libs/kernel/log.h"
#include "libs/limits/rate_bucket.h"
#include "libs/services/claim_service.h"
#include "libs/services/document_source.h"
#include "libs/services/membership_view.h"
#include "libs/services/object_store.h"
#include "plugins/claims/claim_events.h"
#include "plugins/claims/claims_settings.h"

namespace flamingogauge {

// The counts shown in the state dump.
struct ClaimCounts {
  std::atomic<std::uint64_t> owned{0};
  std::atomic<std::uint64_t> recorded{0};
  std::atomic<std::uint64_t> refused{0};
  std::atomic<std::uint64_t> unresolved{0};
  std::atomic<std::uint64_t> swept{0};
};

// Runs the claims thread, which executes the actions of claim attempts, tracks
// the retention epoch and deletes expired claims.
class ClaimsWorker {
 public:
  explicit ClaimsWorker(ClaimsSettings settings)
      : settings_(settings),
        ring_(std::make_shared<ClaimEventRing>((settings.max_attempts + 1) *
                                               kEventsPerAttempt)),
        epoch_clock_({.epoch_length = settings.epoch_length}) {}

  ~ClaimsWorker();

  // `membership` and `documents` may be null. Without `membership`, all owners
  // count as alive; without `documents`, claims have no rate limit.
  void Start(ObjectStore* store,
             MembershipView* membership,
             DocumentSource* documents) {
    store_ = store;
    membership_ = membership;
    follows_document_ = documents != nullptr;
    thread_ = std::thread([this] { Run(); });
    if (documents != nullptr) {
      documents->Subscribe([ring = ring_](
                               std::shared_ptr<const Document> document) {
        PostClaimEvent(*ring, DocumentEvent{.document = std::move(document)});
      });
    }
  }

  void Acquire(ClaimRequest request, ClaimService::AcquireCallback callback);

  // Posts an event. The ring has room for the events of all attempts that
  // Acquire admits, and for the drain event.
  void Post(ClaimEvent event) { PostClaimEvent(*ring_, std::move(event)); }

  std::string DumpState() const;

 private:
  // Maximum number of events of one attempt that may be queued at the same
  // time.
  static constexpr std::size_t kEventsPerAttempt = 8;

  struct Entry {
    std::string key;
    std::unique_ptr<ClaimAttempt> attempt;
    ClaimService::AcquireCallback on_acquired;
    ClaimService::ReleaseCallback on_released;
  };

  void Run();
  MonotonicTime NextTimeout(MonotonicTime now) const;
  void Dispatch(ClaimEvent& event, MonotonicTime now);
  void Handle(AcquireEvent& event, MonotonicTime now);
  void Handle(AbandonEvent& event, MonotonicTime now);
  void Handle(ReleaseEvent& event, MonotonicTime now);
  void Handle(RecordEvent& event, MonotonicTime now);
  void Handle(LeaveUnresolvedEvent& event, MonotonicTime now);
  void Handle(WrittenEvent& event, MonotonicTime now);
  void Handle(ReadEvent& event, MonotonicTime now);
  void Handle(EpochEvent& event, MonotonicTime now);
  void Handle(DocumentEvent& event, MonotonicTime now);
  void Handle(SweepListedEvent& event, MonotonicTime now);
  void Handle(SweepReadEvent& event, MonotonicTime now);
  void Handle(SweepDeletedEvent& event, MonotonicTime now);
  void Handle(ClaimDrainEvent& event, MonotonicTime now);

  void Execute(RequestId id, ClaimAttempt::Actions actions);
  void ExecuteOne(RequestId id, Entry& entry, ClaimAction& action);
  void RemoveIfFinished(RequestId id);
  void OnTime(MonotonicTime now);
  void PollEpoch(MonotonicTime now);
  // Returns false if a further call to the store is needed to learn the epoch.
  bool ReadEpoch(const EpochEvent& event, MonotonicTime now);
  void CreateEpoch(MonotonicTime now);
  void Sweep(MonotonicTime now);
  bool TryConsumeClaimRate(MonotonicTime now);
  std::vector<HostId> LiveHosts() const;
  bool MayBeAlive(const Incarnation& owner) const;
  ClaimToken NewToken();
  void FinishDrainIfIdle();

  ClaimsSettings settings_;
  ObjectStore* store_ = nullptr;
  MembershipView* membership_ = nullptr;
  Logger logger_{"claims"};
  // Shared with the callbacks given to the store, which may outlive the plugin.
  std::shared_ptr<ClaimEventRing> ring_;
  std::atomic<std::size_t> attempt_count_{0};
  ClaimCounts counts_;
  std::thread thread_;

  // Modified by the claims thread only. The mutex guards `entries_` against
  // DumpState on other threads.
  mutable std::mutex entries_mutex_;
  std::unordered_map<RequestId, Entry> entries_;
  ClaimEpochClock epoch_clock_;
  std::uint64_t epoch_version_ = 0;
  std::uint64_t epoch_ = 0;
  bool epoch_outstanding_ = false;
  // True once the store, or an error, has answered the first read.
  bool epoch_answered_ = false;
  // Requests that arrived before the first answer, at most max_attempts.
  std::vector<AcquireEvent> early_requests_;
  MonotonicTime next_epoch_read_ = std::chrono::steady_clock::now();
  ClaimSweeper sweeper_{{}};
  // False without a DocumentSource; claims then have no rate limit.
  bool follows_document_ = false;
  // Rate limit of all hosts together; 0 until the first document.
  double claims_per_second_ = 0;
  RateBucket claim_rate_;
  std::random_device entropy_;
  std::function<void()> drained_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CLAIMS_CLAIMS_WORKER_H_
