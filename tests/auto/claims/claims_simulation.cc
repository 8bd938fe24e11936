#include "tests/auto/claims/claims_simulation.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kHosts = 4;
constexpr std::size_t kKeys = 3;
constexpr seconds kRequestTime{10};
constexpr std::size_t kMaxViolations = 5;

}  // namespace

bool ClaimsSimulation::Scheduled::operator>(const Scheduled& other) const {
  return at != other.at ? at > other.at : order > other.order;
}

ClaimsSimulation::ClaimsSimulation(std::uint64_t seed)
    : random_(seed), keys_(kKeys) {
  for (std::size_t it = 0; it < kHosts; ++it) {
    hosts_.push_back({.incarnation = {.high = it + 1, .low = random_.Next()}});
  }
}

void ClaimsSimulation::Violation(const std::string& text) {
  if (result_.violations.size() < kMaxViolations) {
    result_.violations.push_back("event " + std::to_string(result_.events) +
                                 ": " + text);
  }
}

void ClaimsSimulation::At(Duration delay, std::function<void()> action) {
  queue_.push_back({.at = now_ + delay,
                    .order = next_order_++,
                    .action = std::move(action)});
  std::push_heap(queue_.begin(), queue_.end(), std::greater<>());
}

void ClaimsSimulation::OnHost(std::size_t host,
                              Duration delay,
                              std::function<void()> action) {
  const Incarnation incarnation = hosts_[host].incarnation;
  At(delay, [this, host, incarnation, action = std::move(action)] {
    if (hosts_[host].incarnation != incarnation) {
      return;
    }
    if (now_ < hosts_[host].paused_until) {
      OnHost(host, hosts_[host].paused_until - now_, action);
      return;
    }
    action();
  });
}

Duration ClaimsSimulation::RandomDelay() {
  // Mostly milliseconds, occasionally far beyond every time limit.
  const std::uint64_t scale = random_.NextBool(0.05) ? 20000 : 10;
  return milliseconds(1 + random_.NextBelow(scale));
}

ClaimsRunResult ClaimsSimulation::Run(std::uint64_t events) {
  At(milliseconds(0), [this] { SubmitRequest(); });
  At(milliseconds(500), [this] { InjectFault(); });
  while (result_.events < events && result_.violations.empty()) {
    std::pop_heap(queue_.begin(), queue_.end(), std::greater<>());
    Scheduled next = std::move(queue_.back());
    queue_.pop_back();
    now_ = next.at;
    ++result_.events;
    next.action();
  }
  return result_;
}

void ClaimsSimulation::SubmitRequest() {
  At(milliseconds(random_.NextBelow(400)), [this] { SubmitRequest(); });
  const std::size_t key = random_.NextBelow(kKeys);
  if (keys_[key].stored && random_.NextBool(0.05)) {
    // The caller has finished with this key and continues with a new one.
    keys_[key] = {};
    for (Host& it : hosts_) {
      std::erase_if(it.attempts, [key](const auto& entry) {
        return entry.second.key == key;
      });
    }
  }
  const std::size_t host = random_.NextBelow(kHosts);
  OnHost(host, milliseconds(0), [this, host, key] {
    const std::uint64_t id = next_id_++;
    Attempt attempt{
        .id = id,
        .key = key,
        .host = host,
        .started = now_,
        .deadline = now_ + kRequestTime,
        .machine = std::make_unique<ClaimAttempt>(
            ClaimAttemptOptions{.token = {.high = id, .low = random_.Next()},
                                .owner = hosts_[host].incarnation,
                                .fingerprint = {.high = key, .low = key},
                                .epoch = 1,
                                .deadline = now_ + kRequestTime})};
    hosts_[host].attempts.emplace(id, std::move(attempt));
    CarryOut(host, id, Find(host, id)->machine->Start(now_));
  });
}

void ClaimsSimulation::InjectFault() {
  At(milliseconds(random_.NextBelow(3000)), [this] { InjectFault(); });
  const std::size_t host = random_.NextBelow(kHosts);
  switch (random_.NextBelow(3)) {
    case 0:
      outage_until_ = now_ + milliseconds(random_.NextBelow(6000));
      break;
    case 1:
      hosts_[host].paused_until = now_ + milliseconds(random_.NextBelow(30000));
      break;
    default:
      hosts_[host].incarnation.low = random_.Next();
      hosts_[host].attempts.clear();
      hosts_[host].paused_until = now_;
      break;
  }
}

ClaimsSimulation::Attempt* ClaimsSimulation::Find(std::size_t host,
                                                  std::uint64_t id) {
  const auto it = hosts_[host].attempts.find(id);
  return it == hosts_[host].attempts.end() ? nullptr : &it->second;
}

bool ClaimsSimulation::OwnerAlive(const Incarnation& owner) const {
  return std::any_of(hosts_.begin(), hosts_.end(), [&owner](const Host& it) {
    return it.incarnation == owner;
  });
}

void ClaimsSimulation::CarryOut(std::size_t host,
                                std::uint64_t id,
                                const ClaimAttempt::Actions& actions) {
  for (const ClaimAction& it : actions) {
    CarryOutOne(host, id, it);
  }
  const Attempt* attempt = Find(host, id);
  if (attempt == nullptr) {
    return;
  }
  if (attempt->machine->IsFinished()) {
    hosts_[host].attempts.erase(id);
    return;
  }
  ScheduleTimeout(host, id);
}

void ClaimsSimulation::ScheduleTimeout(std::size_t host, std::uint64_t id) {
  const std::optional<MonotonicTime> timeout =
      Find(host, id)->machine->NextTimeout();
  if (!timeout) {
    return;
  }
  OnHost(host, std::max(*timeout - now_, Duration(0)), [this, host, id] {
    Attempt* attempt = Find(host, id);
    if (attempt == nullptr) {
      return;
    }
    const auto due = attempt->machine->NextTimeout();
    if (due && *due <= now_) {
      CarryOut(host, id, attempt->machine->OnTime(now_));
    }
  });
}

void ClaimsSimulation::CarryOutOne(std::size_t host,
                                   std::uint64_t id,
                                   const ClaimAction& action) {
  if (const auto* create = std::get_if<CreateClaimAction>(&action)) {
    Write(host, id, create->record, std::nullopt);
  } else if (const auto* update = std::get_if<UpdateClaimAction>(&action)) {
    Write(host, id, update->record, update->expected_version);
  } else if (std::holds_alternative<ReadClaimAction>(action)) {
    ReadKey(host, id);
  } else if (const auto* answer = std::get_if<ReportVerdictAction>(&action)) {
    OnAnswer(host, id, answer->answer);
  } else if (const auto* ended = std::get_if<ReleaseEndedAction>(&action)) {
    OnReleased(host, id, ended->confirmed);
  }
}

StoreWriteResult ClaimsSimulation::Apply(
    std::size_t key,
    const ClaimRecord& record,
    std::optional<std::uint64_t> expected_version) {
  std::optional<VersionedClaim>& stored = keys_[key].stored;
  const bool matches = expected_version
                           ? stored && stored->version == *expected_version
                           : !stored;
  if (!matches) {
    return StoreWriteResult::kConflict;
  }
  stored = VersionedClaim{.record = record, .version = next_version_++};
  if (record.state == ClaimState::kReleased) {
    keys_[key].executions_at_release = keys_[key].executions;
  }
  return StoreWriteResult::kApplied;
}

void ClaimsSimulation::Write(std::size_t host,
                             std::uint64_t id,
                             const ClaimRecord& record,
                             std::optional<std::uint64_t> expected_version) {
  const std::size_t key = Find(host, id)->key;
  const auto report = [this, host, id](StoreWriteResult result,
                                       std::uint64_t version) {
    OnHost(host, RandomDelay(), [this, host, id, result, version] {
      if (Attempt* attempt = Find(host, id)) {
        CarryOut(host, id, attempt->machine->OnWritten(now_, result, version));
      }
    });
  };
  if (StoreIsDown() && random_.NextBool(0.5)) {
    report(StoreWriteResult::kNotApplied, 0);
    return;
  }
  const bool answer_lost = random_.NextBool(StoreIsDown() ? 0.8 : 0.2);
  if (answer_lost) {
    report(StoreWriteResult::kUnknown, 0);
    if (random_.NextBool(0.5)) {
      return;
    }
  }
  At(RandomDelay(), [this, key, record, expected_version, answer_lost, report] {
    const StoreWriteResult applied = Apply(key, record, expected_version);
    if (!answer_lost) {
      report(applied, next_version_ - 1);
    }
  });
}

void ClaimsSimulation::ReadKey(std::size_t host, std::uint64_t id) {
  const std::size_t key = Find(host, id)->key;
  At(RandomDelay(), [this, host, id, key] {
    const bool readable = !StoreIsDown() && !random_.NextBool(0.1);
    const std::optional<VersionedClaim> claim =
        readable ? keys_[key].stored : std::nullopt;
    const ClaimReadResult result = !readable ? ClaimReadResult::kUnavailable
                                   : claim   ? ClaimReadResult::kFound
                                             : ClaimReadResult::kAbsent;
    OnHost(host, RandomDelay(), [this, host, id, result, claim] {
      if (Attempt* attempt = Find(host, id)) {
        const bool alive = claim && OwnerAlive(claim->record.owner);
        CarryOut(host, id,
                 attempt->machine->OnRead(now_, result, claim, alive));
      }
    });
  });
}

void ClaimsSimulation::OnAnswer(std::size_t host,
                                std::uint64_t id,
                                const ClaimAnswer& answer) {
  Attempt* attempt = Find(host, id);
  const Key& key = keys_[attempt->key];
  switch (answer.verdict) {
    case ClaimVerdict::kOwned:
      attempt->dispatch_until = answer.dispatch_until;
      OnHost(host, RandomDelay(), [this, host, id] { UseClaim(host, id); });
      break;
    case ClaimVerdict::kRecorded:
      ++result_.recorded_answers;
      if (key.executions != 1 || answer.outcome.body != key.outcome) {
        Violation("a recorded response differs from that of the execution");
      }
      break;
    case ClaimVerdict::kRefused:
      ++result_.unknown_answers;
      attempt->reported_not_run =
          answer.refusal.run_status == RunStatus::kAttemptNotRun ||
          answer.refusal.run_status == RunStatus::kNotRun;
      if (answer.refusal.run_status == RunStatus::kNotRun &&
          key.executions_at_release > 0) {
        Violation("a joined attempt reports \"not run\" after an execution");
      }
      break;
  }
}

void ClaimsSimulation::UseClaim(std::size_t host, std::uint64_t id) {
  Attempt* attempt = Find(host, id);
  if (attempt == nullptr || !attempt->machine->IsOwned()) {
    return;
  }
  const bool dispatches = now_ < attempt->deadline &&
                          now_ < attempt->dispatch_until &&
                          random_.NextBool(0.6);
  if (!dispatches) {
    CarryOut(host, id, attempt->machine->Release(now_));
    return;
  }
  Execute(host, id);
}

void ClaimsSimulation::Execute(std::size_t host, std::uint64_t id) {
  Attempt* attempt = Find(host, id);
  Key& key = keys_[attempt->key];
  if (attempt->reported_not_run) {
    Violation("a request was executed after its caller was told \"not run\"");
  }
  if (++key.executions > 1) {
    Violation("a key was executed twice");
  }
  ++result_.executions;
  key.outcome = "booking " + std::to_string(id);
  if (random_.NextBool(0.2)) {
    attempt->machine->LeaveUnresolved();
    hosts_[host].attempts.erase(id);
    return;
  }
  OnHost(host, RandomDelay(), [this, host, id] {
    if (Attempt* it = Find(host, id)) {
      CarryOut(host, id,
               it->machine->Record(
                   now_, {.status = 200, .body = keys_[it->key].outcome}));
    }
  });
}

void ClaimsSimulation::OnReleased(std::size_t host,
                                  std::uint64_t id,
                                  bool confirmed) {
  if (!confirmed) {
    return;
  }
  ++result_.not_run_answers;
  // "Not run" refers to the time at which the store applied the release. A
  // concurrent attempt may claim the key and be executed before the caller gets
  // the response.
  if (keys_[Find(host, id)->key].executions_at_release > 0) {
    Violation("a caller was told \"not run\" after an execution of its key");
  }
}

}  // namespace flamingogauge
