#include "tests/auto/dispatching/admission_replay.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

namespace flamingogauge {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};
constexpr milliseconds kStep{5};
constexpr double kPrefillTokensPerSecond = 112000;
constexpr double kTokensPerEvent = 9;
// The event interval of an idle upstream of mean speed.
constexpr double kEventSeconds = 0.031;
// A full upstream takes this much longer for an event than an idle one.
constexpr double kFullSlowdown = 0.8;
// A connection to a silent upstream is given up after this time.
constexpr milliseconds kConnectLimit{300};
constexpr milliseconds kAbuseDelay{10};
constexpr int kAbusiveAttempts = 4;
constexpr int kAttempts = 2;

double StandardNormal(Random& random) {
  const double radius =
      std::sqrt(-2 * std::log(std::max(1e-12, random.NextDouble())));
  return radius * std::cos(2 * std::numbers::pi * random.NextDouble());
}

Duration FromSeconds(double seconds) {
  return duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

AdmissionReplay::AdmissionReplay(ReplayOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      dispatcher_({.data_centre = "d", .regions = {}, .seed = options_.seed}) {
  std::vector<UpstreamEntry> upstreams;
  for (int n = 0; n < options_.upstreams; ++n) {
    upstreams.push_back({.id = "u" + std::to_string(n),
                         .service = "s",
                         .data_centre = "d",
                         .slots = options_.slots});
  }
  dispatcher_.SetUpstreams(upstreams, kStart);
}

void AdmissionReplay::Run() {
  for (now_ = kStart; now_ < kStart + options_.length; now_ += kStep) {
    EndExecutions();
    LeaveImpatient();
    ReturnCallers();
    Arrive();
    Place();
  }
}

double AdmissionReplay::Factor(int kind, int workspace) const {
  double factor = 1;
  for (const ReplaySurge& it : options_.surges) {
    const bool matches = (it.kind < 0 || it.kind == kind) &&
                         (it.workspace < 0 || it.workspace == workspace);
    if (matches && now_ >= kStart + it.from && now_ < kStart + it.until) {
      factor *= it.factor;
    }
  }
  return factor;
}

bool AdmissionReplay::IsDark(const std::string& upstream) const {
  if (now_ < kStart + options_.dark_from ||
      now_ >= kStart + options_.dark_until) {
    return false;
  }
  const int n = std::stoi(upstream.substr(1));
  return n < options_.dark_share * options_.upstreams;
}

void AdmissionReplay::Arrive() {
  const double step = ToSeconds(kStep);
  for (int kind = 0; kind < static_cast<int>(options_.kinds.size()); ++kind) {
    const ReplayKind& it = options_.kinds[static_cast<std::size_t>(kind)];
    for (int workspace = 0; workspace < options_.workspaces; ++workspace) {
      double expected =
          it.per_second * step * Factor(kind, workspace) / options_.workspaces;
      for (; random_.NextBool(std::min(1.0, expected)); expected -= 1) {
        const double spread =
            std::exp(it.output_sigma * StandardNormal(random_));
        calls_.push_back(
            {.kind = kind,
             .workspace = workspace,
             .output_tokens = std::min(4000.0, it.output_tokens * spread),
             .first_attempt = now_,
             .due_at = now_ + it.target,
             .deadline = now_ + it.time_limit,
             .is_abusive = random_.NextBool(options_.abusive_share)});
        Attempt(calls_.size() - 1);
      }
    }
  }
}

void AdmissionReplay::Attempt(std::uint64_t call) {
  Call& it = calls_[call];
  const ReplayKind& kind = options_.kinds[static_cast<std::size_t>(it.kind)];
  ++it.attempts;
  const std::uint64_t id = next_attempt_++;
  waiting_[id] = call;
  waiting_since_[id] = now_;
  dispatcher_.Enqueue(
      {.id = id,
       .service = "s",
       .priority = kind.priority,
       .arrived_at = now_,
       .due_at = it.due_at,
       .start_by = std::min(it.deadline, now_ + kind.patience),
       .deadline = it.deadline,
       .prompt_tokens = kind.prompt_tokens,
       .expected_output_tokens = it.output_tokens,
       .workspace = static_cast<std::uint64_t>(it.workspace) + 1,
       .returned = it.attempts > 1 && !it.is_abusive});
}

void AdmissionReplay::ReturnCallers() {
  while (!returns_.empty() && returns_.begin()->first <= now_) {
    const std::uint64_t call = returns_.begin()->second;
    returns_.erase(returns_.begin());
    Attempt(call);
  }
}

void AdmissionReplay::EndExecutions() {
  std::erase_if(executions_, [this](const Execution& it) {
    if (it.ends_at > now_) {
      return false;
    }
    const bool is_lost = it.event_interval.count() == 0;
    if (!is_lost) {
      dispatcher_.OnEventInterval(it.upstream, it.event_interval);
    }
    --running_[it.upstream];
    dispatcher_.OnEnded(
        it.upstream,
        is_lost ? DispatchResult::kTransportError : DispatchResult::kServed,
        now_);
    return true;
  });
}

void AdmissionReplay::LeaveImpatient() {
  std::erase_if(waiting_, [this](const auto& it) {
    Call& call = calls_[it.second];
    const ReplayKind& kind =
        options_.kinds[static_cast<std::size_t>(call.kind)];
    const MonotonicTime leaves_at =
        std::min(call.deadline, waiting_since_[it.first] + kind.patience);
    if (leaves_at > now_) {
      return false;
    }
    dispatcher_.Remove(it.first);
    call.fate = Fate::kLeft;
    return true;
  });
}

void AdmissionReplay::Place() {
  for (const Placement& it : dispatcher_.Place(now_)) {
    const std::uint64_t call = waiting_.at(it.request);
    waiting_.erase(it.request);
    Start(call, it.upstream.id);
  }
  for (const Rejection& it : dispatcher_.Reject(now_)) {
    const std::uint64_t call = waiting_.at(it.request);
    waiting_.erase(it.request);
    longest_refused_wait_ = std::max(
        longest_refused_wait_,
        duration_cast<milliseconds>(now_ - waiting_since_[it.request]));
    OnRefused(call, it);
  }
}

void AdmissionReplay::Start(std::uint64_t call, const std::string& upstream) {
  Call& it = calls_[call];
  if (IsDark(upstream)) {
    it.fate = Fate::kLeft;
    ++running_[upstream];
    executions_.push_back(
        {.call = call, .upstream = upstream, .ends_at = now_ + kConnectLimit});
    return;
  }
  const ReplayKind& kind = options_.kinds[static_cast<std::size_t>(it.kind)];
  const int running = running_[upstream]++;
  const double slowdown = 1 + kFullSlowdown * running / options_.slots;
  const double first =
      (kind.prompt_tokens / kPrefillTokensPerSecond + 2 * kEventSeconds) *
      slowdown;
  const double interval = kEventSeconds * slowdown;
  const double output = it.output_tokens / kTokensPerEvent * interval;
  const MonotonicTime first_event_at = now_ + FromSeconds(first);
  executions_.push_back(
      {.call = call,
       .upstream = upstream,
       .first_event_at = first_event_at,
       .ends_at = first_event_at + FromSeconds(output),
       .event_interval = std::chrono::duration<double>(interval)});
  it.fate = first_event_at <= it.due_at ? Fate::kOnTime : Fate::kLate;
}

void AdmissionReplay::OnRefused(std::uint64_t call,
                                const Rejection& rejection) {
  Call& it = calls_[call];
  it.fate = it.attempts > 1 ? Fate::kRefusedAgain : Fate::kRefused;
  if (it.attempts >= (it.is_abusive ? kAbusiveAttempts : kAttempts)) {
    return;
  }
  const auto left = duration_cast<milliseconds>(it.deadline - now_);
  const milliseconds delay =
      it.is_abusive ? kAbuseDelay : std::min(rejection.retry_after, left / 3);
  const MonotonicTime at = now_ + delay;
  ++returns_by_tenth_[(at - kStart) / milliseconds(100)];
  returns_.emplace(at, call);
}

void AdmissionReplay::Add(const Call& call, ReplayOutcome& sum) const {
  const ReplayKind& kind = options_.kinds[static_cast<std::size_t>(call.kind)];
  ++sum.owed;
  sum.worth_owed += kind.worth;
  switch (call.fate) {
    case Fate::kOnTime:
      ++sum.on_time;
      sum.worth_earned += kind.worth;
      break;
    case Fate::kLate:
      ++sum.late;
      sum.worth_earned += kind.late_worth;
      break;
    case Fate::kRefused:
      ++sum.refused;
      break;
    case Fate::kRefusedAgain:
      ++sum.refused_again;
      break;
    case Fate::kOpen:
    case Fate::kLeft:
      ++sum.left;
      break;
  }
}

ReplayOutcome AdmissionReplay::Sum(milliseconds from,
                                   milliseconds until,
                                   int kind,
                                   int workspace) const {
  ReplayOutcome sum;
  for (const Call& it : calls_) {
    if (it.first_attempt >= kStart + from &&
        it.first_attempt < kStart + until && (kind < 0 || it.kind == kind) &&
        (workspace < 0 || it.workspace == workspace)) {
      Add(it, sum);
    }
  }
  return sum;
}

ReplayOutcome AdmissionReplay::SumBySize(int kind,
                                         double lower_quantile,
                                         double upper_quantile) const {
  std::vector<const Call*> calls;
  for (const Call& it : calls_) {
    if (it.kind == kind) {
      calls.push_back(&it);
    }
  }
  std::sort(calls.begin(), calls.end(), [](const Call* a, const Call* b) {
    return a->output_tokens < b->output_tokens;
  });
  const auto count = static_cast<double>(calls.size());
  ReplayOutcome sum;
  for (auto n = static_cast<std::size_t>(count * lower_quantile);
       n < static_cast<std::size_t>(count * upper_quantile); ++n) {
    Add(*calls[n], sum);
  }
  return sum;
}

int AdmissionReplay::most_returns_together() const {
  int most = 0;
  for (const auto& [tenth, returns] : returns_by_tenth_) {
    most = std::max(most, returns);
  }
  return most;
}

}  // namespace flamingogauge
