#include "plugins/claims/claims_plugin.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <thread>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "libs/claims/claim_attempt.h"
#include "libs/claims/claim_epoch_clock.h"
#include "libs/digest/sha256.h"
#include "libs/kernel/bounded_ring.h"
#include "libs/kernel/check.h"
#include "libs/kernel/log.h"
#include "libs/services/membership_view.h"
#include "libs/services/object_store.h"
#include "plugins/claims/claim_record_json.h"

namespace flamingogauge {
namespace {

using std::chrono::steady_clock;

constexpr std::string_view kEpochKey = "claims-epoch";
constexpr std::chrono::seconds kEpochReadInterval{60};
constexpr std::chrono::seconds kEpochRetryInterval{1};
constexpr std::chrono::milliseconds kIdleWait{500};
// Requests, results and ends of one attempt that may wait at the same time.
constexpr std::size_t kEventsPerAttempt = 8;
constexpr std::size_t kDumpedAttempts = 32;

struct AcquireEvent {
  ClaimRequest request;
  ClaimService::AcquireCallback callback;
};
struct AbandonEvent {
  RequestId id;
};
struct ReleaseEvent {
  RequestId id;
  ClaimService::ReleaseCallback callback;
};
struct RecordEvent {
  RequestId id;
  RecordedOutcome outcome;
};
struct LeaveUnresolvedEvent {
  RequestId id;
};
struct WrittenEvent {
  RequestId id;
  ClaimWriteResult result;
  std::uint64_t version;
};
struct ReadEvent {
  RequestId id;
  ClaimReadResult result;
  std::optional<VersionedClaim> claim;
};
// The epoch object was read, created or advanced.
struct EpochEvent {
  MonotonicTime requested_at;
  Result<StoredObject> object;
};
struct DrainEvent {
  std::function<void()> done;
};

using Event = std::variant<AcquireEvent,
                           AbandonEvent,
                           ReleaseEvent,
                           RecordEvent,
                           LeaveUnresolvedEvent,
                           WrittenEvent,
                           ReadEvent,
                           EpochEvent,
                           DrainEvent>;

// Joins the parts with their lengths, so that no two keys share a name.
std::string ClaimKey(const ClaimRequest& request) {
  std::string text;
  for (const std::string& it :
       {request.workspace, request.service, request.idempotency_key}) {
    text += std::to_string(it.size()) + ":" + it;
  }
  return "claims/" + Sha256Hex(text);
}

ClaimWriteResult ToWriteResult(const Result<StoredObject>& result) {
  if (result) {
    return ClaimWriteResult::kApplied;
  }
  switch (result.error().code) {
    case ErrorCode::kAlreadyExists:
    case ErrorCode::kVersionMismatch:
    case ErrorCode::kNotFound:
      return ClaimWriteResult::kConflict;
    case ErrorCode::kUnavailable:
    case ErrorCode::kResourceExhausted:
      return ClaimWriteResult::kNotApplied;
    default:
      return ClaimWriteResult::kUnknown;
  }
}

ReadEvent ToReadEvent(RequestId id, const Result<StoredObject>& result) {
  if (!result) {
    const bool absent = result.error().code == ErrorCode::kNotFound;
    return {.id = id,
            .result = absent ? ClaimReadResult::kAbsent
                             : ClaimReadResult::kUnavailable};
  }
  std::optional<ClaimRecord> record = ClaimRecordFromJson(result.value().value);
  if (!record) {
    return {.id = id, .result = ClaimReadResult::kUnavailable};
  }
  return {.id = id,
          .result = ClaimReadResult::kFound,
          .claim = VersionedClaim{.record = std::move(*record),
                                  .version = result.value().version}};
}

void PostTo(BoundedRing<Event>& ring, Event event) {
  const bool pushed = ring.TryPush(std::move(event));
  CHECK_INVARIANT("I5", pushed || ring.IsClosed(),
                  std::string("post claim event: the ring is full"));
}

// The counts shown in the state dump.
struct Counts {
  std::atomic<std::uint64_t> owned{0};
  std::atomic<std::uint64_t> recorded{0};
  std::atomic<std::uint64_t> refused{0};
  std::atomic<std::uint64_t> unresolved{0};
};

}  // namespace

class ClaimsPlugin::Impl {
 public:
  explicit Impl(ClaimsSettings settings)
      : settings_(settings),
        ring_(std::make_shared<BoundedRing<Event>>((settings.max_attempts + 1) *
                                                   kEventsPerAttempt)),
        epoch_clock_({.epoch_length = settings.epoch_length,
                      .retention_epochs = settings.retention_epochs}) {}

  ~Impl() {
    ring_->Close();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  void Start(ObjectStore* store, MembershipView* membership) {
    store_ = store;
    membership_ = membership;
    thread_ = std::thread([this] { Run(); });
  }

  void Acquire(ClaimRequest request, AcquireCallback callback);

  // Every other event belongs to an attempt that was admitted by Acquire, for
  // which the ring has room.
  void Post(Event event) { PostTo(*ring_, std::move(event)); }

  std::string DumpState() const;

 private:
  struct Entry {
    std::string key;
    std::unique_ptr<ClaimAttempt> attempt;
    AcquireCallback on_acquired;
    ReleaseCallback on_released;
  };

  void Run();
  MonotonicTime NextWake(MonotonicTime now) const;
  void Dispatch(Event& event, MonotonicTime now);
  void Handle(AcquireEvent& event, MonotonicTime now);
  void Handle(AbandonEvent& event, MonotonicTime now);
  void Handle(ReleaseEvent& event, MonotonicTime now);
  void Handle(RecordEvent& event, MonotonicTime now);
  void Handle(LeaveUnresolvedEvent& event, MonotonicTime now);
  void Handle(WrittenEvent& event, MonotonicTime now);
  void Handle(ReadEvent& event, MonotonicTime now);
  void Handle(EpochEvent& event, MonotonicTime now);
  void Handle(DrainEvent& event, MonotonicTime now);

  void CarryOut(RequestId id, ClaimAttempt::Actions actions);
  void CarryOutOne(RequestId id, Entry& entry, ClaimAction& action);
  void RemoveIfFinished(RequestId id);
  void OnTime(MonotonicTime now);
  void KeepEpoch(MonotonicTime now);
  bool MayBeAlive(const Incarnation& owner) const;
  ClaimToken NewToken();
  void FinishDrainIfIdle();

  ClaimsSettings settings_;
  ObjectStore* store_ = nullptr;
  MembershipView* membership_ = nullptr;
  Logger logger_{"claims"};
  // Shared with the callbacks given to the store, which may outlive the plugin.
  std::shared_ptr<BoundedRing<Event>> ring_;
  std::atomic<std::size_t> attempt_count_{0};
  Counts counts_;
  std::thread thread_;

  // Used by the thread only, but for the dump.
  mutable std::mutex entries_mutex_;
  std::unordered_map<RequestId, Entry> entries_;
  ClaimEpochClock epoch_clock_;
  std::uint64_t epoch_version_ = 0;
  std::uint64_t epoch_ = 0;
  bool epoch_outstanding_ = false;
  MonotonicTime next_epoch_read_ = steady_clock::now();
  std::random_device entropy_;
  std::function<void()> drained_;
};

void ClaimsPlugin::Impl::Acquire(ClaimRequest request,
                                 AcquireCallback callback) {
  if (attempt_count_.fetch_add(1) >= settings_.max_attempts) {
    attempt_count_.fetch_sub(1);
    callback({.verdict = ClaimVerdict::kRefused,
              .refusal = {.kind = RefusalKind::kUnavailable,
                          .run_status = RunStatus::kAttemptNotRun,
                          .message = "claim: too many claims in progress on "
                                     "this host",
                          .retry_after = std::chrono::milliseconds(1000)}});
    return;
  }
  Post(AcquireEvent{.request = std::move(request),
                    .callback = std::move(callback)});
}

void ClaimsPlugin::Impl::Run() {
  while (!ring_->IsClosed()) {
    const MonotonicTime now = steady_clock::now();
    std::optional<Event> event = ring_->PopUntil(NextWake(now));
    if (event) {
      Dispatch(*event, steady_clock::now());
    }
    OnTime(steady_clock::now());
  }
}

MonotonicTime ClaimsPlugin::Impl::NextWake(MonotonicTime now) const {
  MonotonicTime wake = now + kIdleWait;
  for (const auto& [id, entry] : entries_) {
    const std::optional<MonotonicTime> next = entry.attempt->NextWake();
    if (next) {
      wake = std::min(wake, *next);
    }
  }
  return wake;
}

void ClaimsPlugin::Impl::Dispatch(Event& event, MonotonicTime now) {
  std::visit([this, now](auto& it) { Handle(it, now); }, event);
}

ClaimToken ClaimsPlugin::Impl::NewToken() {
  const auto next = [this] {
    return (static_cast<std::uint64_t>(entropy_()) << 32U) | entropy_();
  };
  return {.high = next(), .low = next()};
}

void ClaimsPlugin::Impl::Handle(AcquireEvent& event, MonotonicTime now) {
  const RequestId id = event.request.id;
  const std::optional<std::uint64_t> epoch = epoch_clock_.EpochForClaim(now);
  if (!epoch) {
    attempt_count_.fetch_sub(1);
    ++counts_.refused;
    event.callback(
        {.verdict = ClaimVerdict::kRefused,
         .refusal = {.kind = RefusalKind::kUnavailable,
                     .run_status = RunStatus::kAttemptNotRun,
                     .message = "claim (platform store): the store is out of "
                                "reach",
                     .retry_after = std::chrono::milliseconds(1000)}});
    return;
  }
  Entry entry{.key = ClaimKey(event.request),
              .attempt = std::make_unique<ClaimAttempt>(ClaimAttemptOptions{
                  .token = NewToken(),
                  .owner = id.incarnation,
                  .fingerprint = event.request.fingerprint,
                  .epoch = *epoch,
                  .deadline = now + event.request.time_left,
                  .acquire_time_limit = settings_.acquire_time_limit}),
              .on_acquired = std::move(event.callback)};
  ClaimAttempt* attempt = entry.attempt.get();
  {
    std::lock_guard<std::mutex> lock(entries_mutex_);
    entries_.insert_or_assign(id, std::move(entry));
  }
  CarryOut(id, attempt->Start(now));
}

void ClaimsPlugin::Impl::Handle(AbandonEvent& event, MonotonicTime now) {
  const auto it = entries_.find(event.id);
  if (it != entries_.end()) {
    it->second.on_acquired = nullptr;
    CarryOut(event.id, it->second.attempt->Abandon(now));
  }
}

void ClaimsPlugin::Impl::Handle(ReleaseEvent& event, MonotonicTime now) {
  const auto it = entries_.find(event.id);
  if (it == entries_.end() || !it->second.attempt->IsOwned()) {
    event.callback(false);
    return;
  }
  it->second.on_released = std::move(event.callback);
  CarryOut(event.id, it->second.attempt->Release(now));
}

void ClaimsPlugin::Impl::Handle(RecordEvent& event, MonotonicTime now) {
  const auto it = entries_.find(event.id);
  CHECK_INVARIANT("I5", it != entries_.end(),
                  "record outcome of request " + ToString(event.id));
  if (it != entries_.end()) {
    CarryOut(event.id,
             it->second.attempt->Record(now, std::move(event.outcome)));
  }
}

void ClaimsPlugin::Impl::Handle(LeaveUnresolvedEvent& event,
                                MonotonicTime /*now*/) {
  const auto it = entries_.find(event.id);
  if (it != entries_.end()) {
    ++counts_.unresolved;
    logger_.Warning("claim of request " + ToString(event.id) +
                    " stays unresolved");
    it->second.attempt->LeaveUnresolved();
    RemoveIfFinished(event.id);
  }
}

void ClaimsPlugin::Impl::Handle(WrittenEvent& event, MonotonicTime now) {
  const auto it = entries_.find(event.id);
  if (it != entries_.end()) {
    CarryOut(event.id,
             it->second.attempt->OnWritten(now, event.result, event.version));
  }
}

void ClaimsPlugin::Impl::Handle(ReadEvent& event, MonotonicTime now) {
  const auto it = entries_.find(event.id);
  if (it != entries_.end()) {
    const bool owner_alive =
        event.claim && MayBeAlive(event.claim->record.owner);
    CarryOut(event.id, it->second.attempt->OnRead(now, event.result,
                                                  event.claim, owner_alive));
  }
}

bool ClaimsPlugin::Impl::MayBeAlive(const Incarnation& owner) const {
  if (membership_ == nullptr) {
    return true;
  }
  const std::shared_ptr<const MemberList> members = membership_->Current();
  return std::any_of(
      members->begin(), members->end(), [&owner](const Member& it) {
        return it.incarnation == owner && it.state != MemberState::kDead;
      });
}

void ClaimsPlugin::Impl::CarryOut(RequestId id, ClaimAttempt::Actions actions) {
  for (ClaimAction& it : actions) {
    CarryOutOne(id, entries_.at(id), it);
  }
  RemoveIfFinished(id);
}

void ClaimsPlugin::Impl::CarryOutOne(RequestId id,
                                     Entry& entry,
                                     ClaimAction& action) {
  const auto on_written = [ring = ring_,
                           id](const Result<StoredObject>& result) {
    PostTo(*ring, WrittenEvent{.id = id,
                               .result = ToWriteResult(result),
                               .version = result ? result.value().version : 0});
  };
  if (auto* create = std::get_if<CreateClaimAction>(&action)) {
    store_->Create(entry.key, ClaimRecordToJson(create->record), on_written);
  } else if (auto* update = std::get_if<UpdateClaimAction>(&action)) {
    store_->Update(entry.key, ClaimRecordToJson(update->record),
                   update->expected_version, on_written);
  } else if (std::holds_alternative<ReadClaimAction>(action)) {
    store_->Get(entry.key,
                [ring = ring_, id](const Result<StoredObject>& result) {
                  PostTo(*ring, ToReadEvent(id, result));
                });
  } else if (auto* answer = std::get_if<AnswerClaimAction>(&action)) {
    const ClaimVerdict verdict = answer->answer.verdict;
    ++(verdict == ClaimVerdict::kOwned      ? counts_.owned
       : verdict == ClaimVerdict::kRecorded ? counts_.recorded
                                            : counts_.refused);
    AcquireCallback callback = std::exchange(entry.on_acquired, nullptr);
    if (callback) {
      callback(std::move(answer->answer));
    }
  } else if (auto* ended = std::get_if<ReleaseEndedAction>(&action)) {
    ReleaseCallback callback = std::exchange(entry.on_released, nullptr);
    if (callback) {
      callback(ended->confirmed);
    }
  }
}

void ClaimsPlugin::Impl::RemoveIfFinished(RequestId id) {
  const auto it = entries_.find(id);
  if (it == entries_.end() || !it->second.attempt->IsFinished()) {
    return;
  }
  {
    std::lock_guard<std::mutex> lock(entries_mutex_);
    entries_.erase(it);
  }
  attempt_count_.fetch_sub(1);
  FinishDrainIfIdle();
}

void ClaimsPlugin::Impl::OnTime(MonotonicTime now) {
  std::vector<RequestId> due;
  for (const auto& [id, entry] : entries_) {
    const std::optional<MonotonicTime> next = entry.attempt->NextWake();
    if (next && *next <= now) {
      due.push_back(id);
    }
  }
  for (const RequestId& it : due) {
    CarryOut(it, entries_.at(it).attempt->OnTime(now));
  }
  KeepEpoch(now);
}

void ClaimsPlugin::Impl::KeepEpoch(MonotonicTime now) {
  if (epoch_outstanding_ || now < next_epoch_read_) {
    return;
  }
  epoch_outstanding_ = true;
  const auto on_epoch = [ring = ring_, now](Result<StoredObject> result) {
    PostTo(*ring, EpochEvent{.requested_at = now, .object = std::move(result)});
  };
  if (epoch_version_ > 0 && epoch_clock_.MayAdvance(now)) {
    store_->Update(std::string(kEpochKey), std::to_string(epoch_ + 1),
                   epoch_version_, on_epoch);
    // Forgets the version, so that the result is read before the next update.
    epoch_version_ = 0;
  } else {
    store_->Get(std::string(kEpochKey), on_epoch);
  }
}

void ClaimsPlugin::Impl::Handle(EpochEvent& event, MonotonicTime now) {
  epoch_outstanding_ = false;
  next_epoch_read_ = now + kEpochRetryInterval;
  if (!event.object) {
    if (event.object.error().code == ErrorCode::kNotFound) {
      epoch_outstanding_ = true;
      store_->Create(
          std::string(kEpochKey), "1",
          [this, now](Result<StoredObject> result) {
            Post(EpochEvent{.requested_at = now, .object = std::move(result)});
          });
    }
    return;
  }
  const std::string& text = event.object.value().value;
  std::uint64_t epoch = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), epoch);
  if (ec != std::errc() || end != text.data() + text.size()) {
    // Writes return no value; the next read does.
    next_epoch_read_ = now;
    return;
  }
  epoch_ = epoch;
  epoch_version_ = event.object.value().version;
  epoch_clock_.OnRead(event.requested_at, now, epoch);
  next_epoch_read_ = now + kEpochReadInterval;
}

void ClaimsPlugin::Impl::Handle(DrainEvent& event, MonotonicTime /*now*/) {
  drained_ = std::move(event.done);
  FinishDrainIfIdle();
}

void ClaimsPlugin::Impl::FinishDrainIfIdle() {
  if (drained_ && entries_.empty()) {
    std::exchange(drained_, nullptr)();
  }
}

std::string ClaimsPlugin::Impl::DumpState() const {
  std::string attempts;
  std::size_t n = 0;
  {
    std::lock_guard<std::mutex> lock(entries_mutex_);
    for (const auto& [id, entry] : entries_) {
      if (n++ == kDumpedAttempts) {
        break;
      }
      attempts += (attempts.empty() ? "" : ",") + ("\"" + ToString(id) + "\"");
    }
  }
  return "{\"in_progress\":" + std::to_string(attempt_count_.load()) +
         ",\"owned\":" + std::to_string(counts_.owned.load()) +
         ",\"recorded\":" + std::to_string(counts_.recorded.load()) +
         ",\"refused\":" + std::to_string(counts_.refused.load()) +
         ",\"unresolved\":" + std::to_string(counts_.unresolved.load()) +
         ",\"requests\":[" + attempts + "]}";
}

ClaimsPlugin::ClaimsPlugin(ClaimsSettings settings)
    : impl_(std::make_unique<Impl>(settings)) {}

ClaimsPlugin::~ClaimsPlugin() = default;

std::string_view ClaimsPlugin::Name() const {
  return "claims";
}

Result<void> ClaimsPlugin::Initialize(ServiceRegistry& registry) {
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
  impl_->Start(store.value(), membership ? membership.value() : nullptr);
  return boost::outcome_v2::success();
}

void ClaimsPlugin::AboutToShutdown(std::function<void()> done) {
  impl_->Post(DrainEvent{.done = std::move(done)});
}

std::string ClaimsPlugin::DumpState() const {
  return impl_->DumpState();
}

void ClaimsPlugin::Acquire(ClaimRequest request, AcquireCallback callback) {
  impl_->Acquire(std::move(request), std::move(callback));
}

void ClaimsPlugin::Abandon(RequestId id) {
  impl_->Post(AbandonEvent{.id = id});
}

void ClaimsPlugin::Release(RequestId id, ReleaseCallback callback) {
  impl_->Post(ReleaseEvent{.id = id, .callback = std::move(callback)});
}

void ClaimsPlugin::Record(RequestId id, RecordedOutcome outcome) {
  impl_->Post(RecordEvent{.id = id, .outcome = std::move(outcome)});
}

void ClaimsPlugin::LeaveUnresolved(RequestId id) {
  impl_->Post(LeaveUnresolvedEvent{.id = id});
}

}  // namespace flamingogauge
