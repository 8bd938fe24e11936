#include "plugins/claims/claims_worker.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <variant>

#include "libs/kernel/check.h"
#include "plugins/claims/claim_record_json.h"

namespace flamingogauge {
namespace {

using std::chrono::steady_clock;

constexpr std::string_view kEpochKey = "claims-epoch";
constexpr std::chrono::seconds kEpochReadInterval{60};
constexpr std::chrono::seconds kEpochRetryInterval{1};
constexpr std::chrono::milliseconds kMaxIdleWait{500};
constexpr std::size_t kMaxDumpedAttempts = 32;

}  // namespace

ClaimsWorker::~ClaimsWorker() {
  ring_->Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void ClaimsWorker::Acquire(ClaimRequest request,
                           ClaimService::AcquireCallback callback) {
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

void ClaimsWorker::Run() {
  while (!ring_->IsClosed()) {
    const MonotonicTime now = steady_clock::now();
    std::optional<ClaimEvent> event = ring_->PopUntil(NextTimeout(now));
    if (event) {
      Dispatch(*event, steady_clock::now());
    }
    OnTime(steady_clock::now());
  }
}

MonotonicTime ClaimsWorker::NextTimeout(MonotonicTime now) const {
  MonotonicTime wake = now + kMaxIdleWait;
  if (!epoch_outstanding_) {
    wake = std::min(wake, next_epoch_read_);
  }
  for (const auto& [id, entry] : entries_) {
    const std::optional<MonotonicTime> next = entry.attempt->NextTimeout();
    if (next) {
      wake = std::min(wake, *next);
    }
  }
  return wake;
}

void ClaimsWorker::Dispatch(ClaimEvent& event, MonotonicTime now) {
  std::visit([this, now](auto& it) { Handle(it, now); }, event);
}

ClaimToken ClaimsWorker::NewToken() {
  const auto next = [this] {
    return (static_cast<std::uint64_t>(entropy_()) << 32U) | entropy_();
  };
  return {.high = next(), .low = next()};
}

bool ClaimsWorker::TryConsumeClaimRate(MonotonicTime now) {
  if (!follows_document_) {
    return true;
  }
  // Each host uses an equal share of the rate. The hosts' views of which
  // members are alive may differ for seconds. During that time the total may
  // exceed the rate by the shares of the hosts on which the views differ.
  const double hosts =
      static_cast<double>(std::max<std::size_t>(1, LiveHosts().size()));
  claim_rate_.Refill(now, claims_per_second_ / hosts);
  return claim_rate_.TrySpend(1);
}

void ClaimsWorker::Handle(AcquireEvent& event, MonotonicTime now) {
  const RequestId id = event.request.id;
  if (!epoch_answered_) {
    // Deferred until the first read of the epoch has been answered.
    early_requests_.push_back(std::move(event));
    return;
  }
  const std::optional<std::uint64_t> epoch = epoch_clock_.EpochForClaim(now);
  const bool is_admitted = epoch && TryConsumeClaimRate(now);
  if (!is_admitted) {
    attempt_count_.fetch_sub(1);
    ++counts_.refused;
    event.callback(
        {.verdict = ClaimVerdict::kRefused,
         .refusal = {
             .kind = RefusalKind::kUnavailable,
             .run_status = RunStatus::kAttemptNotRun,
             .message = epoch ? "claim: the rate limit of claims is exceeded "
                                "(limits.claims_per_second)"
                              : "claim (platform store): the store is "
                                "unreachable",
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
  Execute(id, attempt->Start(now));
}

void ClaimsWorker::Handle(AbandonEvent& event, MonotonicTime now) {
  const auto it = entries_.find(event.id);
  if (it != entries_.end()) {
    it->second.on_acquired = nullptr;
    Execute(event.id, it->second.attempt->Abandon(now));
  }
}

void ClaimsWorker::Handle(ReleaseEvent& event, MonotonicTime now) {
  const auto it = entries_.find(event.id);
  if (it == entries_.end() || !it->second.attempt->IsOwned()) {
    event.callback(false);
    return;
  }
  it->second.on_released = std::move(event.callback);
  Execute(event.id, it->second.attempt->Release(now));
}

void ClaimsWorker::Handle(RecordEvent& event, MonotonicTime now) {
  const auto it = entries_.find(event.id);
  CHECK_INVARIANT("I5", it != entries_.end(),
                  "record outcome of request " + ToString(event.id));
  if (it != entries_.end()) {
    Execute(event.id,
            it->second.attempt->Record(now, std::move(event.outcome)));
  }
}

void ClaimsWorker::Handle(LeaveUnresolvedEvent& event, MonotonicTime /*now*/) {
  const auto it = entries_.find(event.id);
  if (it != entries_.end()) {
    ++counts_.unresolved;
    logger_.Warning("claim of request " + ToString(event.id) +
                    " is left unresolved");
    it->second.attempt->LeaveUnresolved();
    RemoveIfFinished(event.id);
  }
}

void ClaimsWorker::Handle(WrittenEvent& event, MonotonicTime now) {
  const auto it = entries_.find(event.id);
  if (it != entries_.end()) {
    Execute(event.id,
            it->second.attempt->OnWritten(now, event.result, event.version));
  }
}

void ClaimsWorker::Handle(ReadEvent& event, MonotonicTime now) {
  const auto it = entries_.find(event.id);
  if (it != entries_.end()) {
    const bool owner_may_be_alive =
        event.claim && MayBeAlive(event.claim->record.owner);
    Execute(event.id, it->second.attempt->OnRead(now, event.result, event.claim,
                                                 owner_may_be_alive));
  }
}

bool ClaimsWorker::MayBeAlive(const Incarnation& owner) const {
  if (membership_ == nullptr) {
    return true;
  }
  const std::shared_ptr<const MemberList> members = membership_->Current();
  return std::any_of(
      members->begin(), members->end(), [&owner](const Member& it) {
        return it.incarnation == owner && it.state != MemberState::kDead;
      });
}

void ClaimsWorker::Execute(RequestId id, ClaimAttempt::Actions actions) {
  for (ClaimAction& it : actions) {
    ExecuteOne(id, entries_.at(id), it);
  }
  RemoveIfFinished(id);
}

void ClaimsWorker::ExecuteOne(RequestId id, Entry& entry, ClaimAction& action) {
  const auto on_written = [ring = ring_,
                           id](const Result<StoredObject>& result) {
    PostClaimEvent(
        *ring, WrittenEvent{.id = id,
                            .result = ToStoreWriteResult(result),
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
                  PostClaimEvent(*ring, ToReadEvent(id, result));
                });
  } else if (auto* answer = std::get_if<ReportVerdictAction>(&action)) {
    const ClaimVerdict verdict = answer->answer.verdict;
    ++(verdict == ClaimVerdict::kOwned      ? counts_.owned
       : verdict == ClaimVerdict::kRecorded ? counts_.recorded
                                            : counts_.refused);
    ClaimService::AcquireCallback callback =
        std::exchange(entry.on_acquired, nullptr);
    if (callback) {
      callback(std::move(answer->answer));
    }
  } else if (auto* ended = std::get_if<ReleaseEndedAction>(&action)) {
    ClaimService::ReleaseCallback callback =
        std::exchange(entry.on_released, nullptr);
    if (callback) {
      callback(ended->confirmed);
    }
  }
}

void ClaimsWorker::RemoveIfFinished(RequestId id) {
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

void ClaimsWorker::OnTime(MonotonicTime now) {
  std::vector<RequestId> due;
  for (const auto& [id, entry] : entries_) {
    const std::optional<MonotonicTime> next = entry.attempt->NextTimeout();
    if (next && *next <= now) {
      due.push_back(id);
    }
  }
  for (const RequestId& it : due) {
    Execute(it, entries_.at(it).attempt->OnTime(now));
  }
  PollEpoch(now);
  Sweep(now);
}

void ClaimsWorker::PollEpoch(MonotonicTime now) {
  if (epoch_outstanding_ || now < next_epoch_read_) {
    return;
  }
  epoch_outstanding_ = true;
  const auto on_epoch = [ring = ring_, now](Result<StoredObject> result) {
    PostClaimEvent(
        *ring, EpochEvent{.requested_at = now, .object = std::move(result)});
  };
  if (epoch_version_ > 0 && epoch_clock_.MayAdvance(now)) {
    store_->Update(std::string(kEpochKey), std::to_string(epoch_ + 1),
                   epoch_version_, on_epoch);
    // Clears the version, so that the epoch is read again before the next
    // update.
    epoch_version_ = 0;
  } else {
    store_->Get(std::string(kEpochKey), on_epoch);
  }
}

void ClaimsWorker::Handle(EpochEvent& event, MonotonicTime now) {
  epoch_outstanding_ = false;
  next_epoch_read_ = now + kEpochRetryInterval;
  if (ReadEpoch(event, now)) {
    epoch_answered_ = true;
  }
  if (epoch_answered_) {
    for (AcquireEvent& it : std::exchange(early_requests_, {})) {
      Handle(it, now);
    }
  }
}

bool ClaimsWorker::ReadEpoch(const EpochEvent& event, MonotonicTime now) {
  if (!event.object) {
    switch (event.object.error().code) {
      case ErrorCode::kAlreadyExists:
        // Another host created the object at the same time.
        next_epoch_read_ = now;
        return false;
      case ErrorCode::kNotFound:
        CreateEpoch(now);
        return false;
      default:
        return true;
    }
  }
  const std::string& text = event.object.value().value;
  std::uint64_t epoch = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), epoch);
  if (ec != std::errc() || end != text.data() + text.size()) {
    // Results of writes carry no value, so the epoch is read again at once.
    next_epoch_read_ = now;
    return false;
  }
  epoch_ = epoch;
  epoch_version_ = event.object.value().version;
  epoch_clock_.OnRead(event.requested_at, now, epoch);
  next_epoch_read_ = now + kEpochReadInterval;
  return true;
}

void ClaimsWorker::CreateEpoch(MonotonicTime now) {
  epoch_outstanding_ = true;
  store_->Create(std::string(kEpochKey), "1",
                 [ring = ring_, now](Result<StoredObject> result) {
                   PostClaimEvent(*ring,
                                  EpochEvent{.requested_at = now,
                                             .object = std::move(result)});
                 });
}

void ClaimsWorker::Handle(ClaimDrainEvent& event, MonotonicTime /*now*/) {
  drained_ = std::move(event.done);
  FinishDrainIfIdle();
}

void ClaimsWorker::FinishDrainIfIdle() {
  if (drained_ && entries_.empty()) {
    std::exchange(drained_, nullptr)();
  }
}

void ClaimsWorker::Handle(DocumentEvent& event, MonotonicTime /*now*/) {
  claims_per_second_ = event.document->limits.claims_per_second;
  epoch_clock_.SetRetention(event.document->limits.claim_retention);
}

std::vector<HostId> ClaimsWorker::LiveHosts() const {
  std::vector<HostId> live;
  if (membership_ != nullptr) {
    // Keeps the list alive, because another thread may publish a new one.
    const std::shared_ptr<const MemberList> members = membership_->Current();
    for (const Member& it : *members) {
      if (it.state == MemberState::kAlive) {
        live.push_back(it.host);
      }
    }
  }
  return live;
}

void ClaimsWorker::Sweep(MonotonicTime now) {
  if (membership_ == nullptr) {
    return;
  }
  const std::optional<SweepAction> action =
      sweeper_.OnTime(now, membership_->Self().host, LiveHosts());
  if (!action) {
    return;
  }
  if (const auto* list = std::get_if<ListClaimsAction>(&*action)) {
    store_->List(list->prefix, [ring = ring_](const auto& result) {
      SweepListedEvent event;
      if (result) {
        for (const StoredObject& it : result.value()) {
          event.keys.push_back(it.key);
        }
      }
      PostClaimEvent(*ring, std::move(event));
    });
  } else if (const auto* read = std::get_if<ReadClaimKeyAction>(&*action)) {
    store_->Get(read->key, [ring = ring_](const auto& result) {
      SweepReadEvent event{};
      if (result) {
        const auto record = ClaimRecordFromJson(result.value().value);
        event.version = result.value().version;
        if (record) {
          event.epoch = record->epoch;
        }
      }
      PostClaimEvent(*ring, event);
    });
  } else if (const auto* erase = std::get_if<DeleteClaimAction>(&*action)) {
    store_->Delete(erase->key, erase->expected_version,
                   [ring = ring_](const auto& result) {
                     PostClaimEvent(*ring, SweepDeletedEvent{
                                               .deleted = result.has_value()});
                   });
  }
}

void ClaimsWorker::Handle(SweepListedEvent& event, MonotonicTime /*now*/) {
  sweeper_.OnListed(std::move(event.keys));
}

void ClaimsWorker::Handle(SweepReadEvent& event, MonotonicTime /*now*/) {
  const bool expired = event.epoch && epoch_clock_.IsExpired(*event.epoch);
  sweeper_.OnRead(expired ? std::optional(event.version) : std::nullopt);
}

void ClaimsWorker::Handle(SweepDeletedEvent& event, MonotonicTime /*now*/) {
  counts_.swept += event.deleted ? 1 : 0;
  sweeper_.OnDeleted();
}

std::string ClaimsWorker::DumpState() const {
  std::string attempts;
  std::size_t n = 0;
  {
    std::lock_guard<std::mutex> lock(entries_mutex_);
    for (const auto& [id, entry] : entries_) {
      if (n++ == kMaxDumpedAttempts) {
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
         ",\"swept\":" + std::to_string(counts_.swept.load()) +
         ",\"requests\":[" + attempts + "]}";
}

}  // namespace flamingogauge
