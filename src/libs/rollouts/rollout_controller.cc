#include "libs/rollouts/rollout_controller.h"

#include <algorithm>
#include <utility>

#include "libs/dispatching/dispatcher.h"
#include "libs/rollouts/rollout_judge.h"

namespace flamingogauge {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// How old a permission for trial requests may be, and how long a host that
// hears nothing goes on with the target after the shift.
constexpr milliseconds kTrialPermission{1500};
constexpr milliseconds kShiftPermission{3000};
// The trial takes this part of the order's time, and more if there are too few
// answers or the target looks worse, up to the second part.
constexpr double kTrialPart = 0.45;
constexpr double kLongestTrialPart = 0.7;
// A service with few requests shows the faults of its target in the shift only,
// which then lasts until this part of the order's time.
constexpr double kLatestCompletionPart = 0.85;
// Standard deviations beyond which a target that looks worse than the old
// versions is tried for longer, or not completed at the end of the time.
constexpr double kDoubtInTrial = 2;
constexpr double kDoubtAtCompletion = 4;
// After a restart of all hosts the trial goes on for this long at least, if
// there is time.
constexpr milliseconds kMinObservation{3000};
// A coordinator that has not run for this long may have missed reports.
constexpr milliseconds kMaxTickGap{600};
// Between two reports of the same kind without a change, and between two times
// that permissions are passed on to the gate.
constexpr milliseconds kReportInterval{150};
constexpr milliseconds kEnforceInterval{100};
// If the old versions have answered this often, the target must have answered
// at least kMinAnswers times to get all requests.
constexpr std::uint64_t kBusyAnswers = 400;
constexpr std::uint64_t kMinAnswers = 15;
constexpr std::chrono::seconds kEndedTime{10};
// Groups of the target's upstreams that are counted together, so that reports
// stay small.
constexpr std::uint64_t kEvidenceGroups = 16;
// Longer than the interval of a coordinator's summaries.
constexpr milliseconds kStartupWait{1000};

}  // namespace

RolloutController::RolloutController(RolloutControllerOptions options)
    : options_(std::move(options)),
      gate_({.data_centre = options_.data_centre,
             .regions = options_.regions,
             .trial_share = options_.limits.trial_share()}),
      progress_(options_.data_centre) {}

void RolloutController::SetUpstreams(
    const std::vector<UpstreamEntry>& upstreams,
    milliseconds unix_time,
    MonotonicTime now) {
  gate_.SetUpstreams(upstreams);
  MergeOrders(unix_time, now);
}

void RolloutController::OnStarted(MonotonicTime now) {
  wait_for_rules_until_ = now + kStartupWait;
  gate_.WaitForRulesUntil(wait_for_rules_until_);
}

void RolloutController::OnHeard(MonotonicTime now) {
  wait_for_rules_until_ =
      std::min(wait_for_rules_until_, now + 2 * kReportInterval);
  gate_.WaitForRulesUntil(wait_for_rules_until_);
}

void RolloutController::SetHosts(const std::vector<HostEntry>& hosts,
                                 MonotonicTime now) {
  progress_.SetHosts(hosts, now);
}

RolloutState RolloutController::StateOf(const RolloutOrder& order,
                                        milliseconds unix_time) const {
  RolloutState state{.service = order.service,
                     .target = order.target,
                     .order = order.order,
                     .revision = order.revision,
                     .duration = order.duration};
  const RolloutStatus& status = order.status;
  if (HasOwnStatus(order)) {
    state.outcome = status.outcome;
    state.phase = status.phase;
    state.from = status.from;
    state.is_bad = status.outcome == RolloutOutcome::kRolledBack;
    // Clocks of hosts differ, and may be wrong, so that they matter only to a
    // host that has just learned of the order; another writer may have left
    // any number.
    const RolloutRecord* known = table_.Find(order.service);
    const bool knows_age = known != nullptr && known->order == order.order;
    if (!knows_age && status.began_at.count() > 0 &&
        status.began_at < unix_time) {
      state.age = std::min(unix_time - status.began_at, order.duration);
    }
  }
  if (state.from.empty()) {
    const RolloutRecord* known = table_.Find(order.service);
    const bool knows_from = known != nullptr && known->order == order.order;
    const auto& from =
        knows_from ? known->from : gate_.trusted().Of(order.service);
    for (const std::string& it : from) {
      if (it != order.target) {
        state.from.push_back(it);
      }
    }
  }
  return state;
}

void RolloutController::OnOrders(const std::vector<RolloutOrder>& orders,
                                 milliseconds unix_time,
                                 MonotonicTime now) {
  for (const auto& [service, order] : writer_.SetOrders(orders)) {
    changes_ += table_.Withdraw(service, order, now) ? 1 : 0;
  }
  wait_for_rules_until_ = {};
  gate_.WaitForRulesUntil(wait_for_rules_until_);
  MergeOrders(unix_time, now);
}

void RolloutController::MergeOrders(milliseconds unix_time, MonotonicTime now) {
  for (const RolloutOrder& it : writer_.Orders()) {
    const bool knows_old =
        !gate_.trusted().Of(it.service).empty() || !it.status.from.empty();
    if (knows_old) {
      changes_ += table_.Merge(StateOf(it, unix_time), now) ? 1 : 0;
    }
  }
  Enforce(now);
}

void RolloutController::MergeAll(const RolloutReport& report,
                                 MonotonicTime now) {
  bool changed = false;
  for (const RolloutState& it : report.rollouts) {
    changed = table_.Merge(it, now) || changed;
  }
  EnforceIf(changed, now);
}

void RolloutController::OnHostReport(const std::string& host,
                                     std::uint64_t process,
                                     const RolloutReport& report,
                                     MonotonicTime now) {
  if (!report.rollouts.empty()) {
    progress_.OnHost(host, report.rollouts, now);
  }
  evidence_.OnHost(host, process, report.evidence);
  MergeAll(report, now);
}

void RolloutController::OnDataCentreReport(const std::string& data_centre,
                                           const RolloutReport& report,
                                           MonotonicTime now) {
  if (!report.rollouts.empty()) {
    progress_.OnDataCentre(data_centre, report.rollouts, now);
  }
  evidence_.OnDataCentre(data_centre, report.evidence);
  MergeAll(report, now);
}

void RolloutController::OnSummary(const RolloutReport& report,
                                  MonotonicTime now) {
  MergeAll(report, now);
}

void RolloutController::OnRequestEnded(const EndedRequest& request,
                                       MonotonicTime /*now*/) {
  const RolloutRecord* record = table_.Find(request.upstream.service);
  if (record == nullptr || record->HasEnded() ||
      request.result == DispatchResult::kRefused ||
      request.result == DispatchResult::kReplaced ||
      request.result == DispatchResult::kLeaving) {
    return;
  }
  AnsweredRequest answer = request.answer;
  answer.succeeded = request.result != DispatchResult::kFailed &&
                     request.result != DispatchResult::kTransportError;
  if (request.upstream.version == record->target) {
    evidence_.Record(record->order,
                     1 + PeerUpstreamKey(request.upstream.id) % kEvidenceGroups,
                     answer);
  } else if (record->from.contains(request.upstream.version)) {
    evidence_.Record(record->order, 0, answer);
  }
}

bool RolloutController::IsReportDue(Reported& reported,
                                    MonotonicTime now) const {
  if (reported.changes == changes_ && now - reported.at < kReportInterval) {
    return false;
  }
  reported = {.at = now, .changes = changes_};
  return true;
}

RolloutReport RolloutController::HostReport(const std::string& receiver,
                                            const Running& running,
                                            MonotonicTime now) {
  if (!IsReportDue(host_reports_[receiver], now)) {
    return {};
  }
  RolloutReport report{.rollouts = table_.Report(now)};
  for (RolloutState& it : report.rollouts) {
    it.hosts_behind =
        gate_.AdmitsOnlyTarget(it.service, now + kRolloutReportLifetime) ? 0
                                                                         : 1;
    const auto by_version = running.find(it.service);
    if (by_version == running.end()) {
      continue;
    }
    for (const auto& [version, requests] : by_version->second) {
      it.old_running += version == it.target ? 0 : requests;
    }
  }
  if (!report.rollouts.empty()) {
    report.evidence = evidence_.Own();
  }
  return report;
}

RolloutReport RolloutController::DataCentreReport(const std::string& receiver,
                                                  MonotonicTime now) {
  if (!IsReportDue(data_centre_reports_[receiver], now)) {
    return {};
  }
  RolloutReport report{.rollouts = table_.Report(now)};
  for (RolloutState& it : report.rollouts) {
    const RolloutProgress::Remaining remaining =
        progress_.Nearby(it.order, now);
    it.old_running = remaining.running;
    it.hosts_behind = remaining.behind;
  }
  if (!report.rollouts.empty()) {
    report.evidence = evidence_.Nearby();
  }
  return report;
}

RolloutReport RolloutController::Summary(MonotonicTime now) {
  if (!IsReportDue(summary_, now)) {
    return {};
  }
  return {.rollouts = table_.Report(now)};
}

bool RolloutController::TrialIsOver(const RolloutRecord& record,
                                    MonotonicTime now) const {
  const Duration age = now - record.began_at;
  const Duration trial = duration_cast<Duration>(record.duration * kTrialPart);
  const Duration longest =
      duration_cast<Duration>(record.duration * kLongestTrialPart);
  if (!gate_.HasUpstreams(record.service, record.target)) {
    return false;
  }
  if (now - record.learned_at < kMinObservation ||
      now - observing_since_ < kMinObservation) {
    return false;
  }
  if (record.from.empty() && gate_.HasOnly(record.service, record.target)) {
    // The target serves already.
    return true;
  }
  if (age < trial) {
    return false;
  }
  const EvidencePool::Counts counts = evidence_.Of(record.order);
  if (age < longest) {
    return HasEnoughAnswers(counts) && !IsSuspicious(counts, kDoubtInTrial);
  }
  // The target has too few answers because the service has few requests.
  return OldAnswers(counts) < kBusyAnswers ||
         TargetAnswers(counts) >= kMinAnswers;
}

bool RolloutController::ShiftIsProven(const RolloutRecord& record,
                                      MonotonicTime now) const {
  return record.from.empty() ||
         now - record.began_at >= record.duration * kLatestCompletionPart ||
         HasEnoughAnswers(evidence_.Of(record.order));
}

void RolloutController::Judge(const RolloutRecord& record, MonotonicTime now) {
  if (record.from.empty()) {
    return;
  }
  const bool trial_is_ending =
      record.phase == RolloutPhase::kTrial &&
      now - record.began_at >= record.duration * kLongestTrialPart;
  const std::optional<RolloutVerdict> verdict =
      FindFault(evidence_.Of(record.order), trial_is_ending);
  if (verdict) {
    changes_ += table_.Condemn(record.service, verdict->reason) ? 1 : 0;
  } else if (record.phase == RolloutPhase::kShift &&
             now - record.began_at >= record.duration * kLatestCompletionPart &&
             IsSuspicious(evidence_.Of(record.order), kDoubtAtCompletion)) {
    // There is no time for more answers, and completion cannot be taken back.
    changes_ += table_.Condemn(record.service,
                               "looks worse than the old versions at the end "
                               "of the order's time")
                    ? 1
                    : 0;
  }
}

bool RolloutController::IsOverdue(const RolloutRecord& record,
                                  MonotonicTime now) const {
  return now - record.began_at >= record.duration &&
         now - record.learned_at >= kMinObservation &&
         gate_.HasUpstreams(record.service, record.target);
}

void RolloutController::UpdateObservation(const Role& role, MonotonicTime now) {
  if (!role.is_coordinator) {
    coordinated_at_.reset();
    return;
  }
  if (!coordinated_at_ || now - *coordinated_at_ > kMaxTickGap) {
    progress_.BeginObserving(now);
    observing_since_ = now;
  }
  coordinated_at_ = now;
}

void RolloutController::TakeStep(const RolloutRecord& record,
                                 MonotonicTime now) {
  if (record.phase == RolloutPhase::kTrial && TrialIsOver(record, now)) {
    changes_ += table_.Advance(record.service, RolloutPhase::kShift) ? 1 : 0;
  } else if (record.phase == RolloutPhase::kTrial && IsOverdue(record, now)) {
    changes_ += table_.Condemn(record.service,
                               "too few answers within the order's time")
                    ? 1
                    : 0;
  } else if (record.phase == RolloutPhase::kShift &&
             gate_.HasUpstreams(record.service, record.target) &&
             ShiftIsProven(record, now) &&
             progress_.Everywhere(record.order, now).IsNone()) {
    changes_ += table_.Advance(record.service, RolloutPhase::kComplete) ? 1 : 0;
  }
}

RolloutActions RolloutController::Tick(const Role& role,
                                       milliseconds unix_time,
                                       MonotonicTime now) {
  if (role.reads_store || role.is_coordinator) {
    table_.Permit(now);
  }
  UpdateObservation(role, now);
  for (const auto& [service, record] : table_.records()) {
    if (record.HasEnded() || record.IsCondemned()) {
      continue;
    }
    Judge(record, now);
    if (role.is_coordinator && !record.IsCondemned()) {
      TakeStep(record, now);
    }
  }
  Enforce(now);
  RolloutActions actions{.events = std::exchange(events_, {}),
                         .gate_changed = std::exchange(gate_changed_, false)};
  if (role.reads_store) {
    actions.writes = writer_.Collect(table_, role.rank, unix_time, now);
  }
  return actions;
}

void RolloutController::OnWritten(const RolloutStatusWrite& write,
                                  bool done,
                                  MonotonicTime now) {
  if (const RolloutOrder* order = writer_.OnWritten(write, done)) {
    const RolloutState state = StateOf(*order, write.status.began_at);
    changes_ += table_.Merge(state, now) ? 1 : 0;
    Enforce(now);
  }
}

bool RolloutController::IsActive(MonotonicTime now) const {
  return std::any_of(table_.records().begin(), table_.records().end(),
                     [now](const auto& it) {
                       const auto& ended_at = it.second.ended_at;
                       return !ended_at || now - *ended_at <= kEndedTime;
                     });
}

std::uint64_t RolloutController::TargetAnswersOf(std::uint64_t order) const {
  return TargetAnswers(evidence_.Of(order));
}

void RolloutController::EnforceIf(bool changed, MonotonicTime now) {
  changes_ += changed ? 1 : 0;
  if (changed || now - enforced_at_ >= kEnforceInterval) {
    Enforce(now);
  }
}

void RolloutController::Enforce(MonotonicTime now) {
  enforced_at_ = now;
  bool has_new_order = false;
  for (const auto& [service, record] : table_.records()) {
    const auto known = enforced_.find(service);
    has_new_order = has_new_order || known == enforced_.end() ||
                    known->second.order != record.order;
    ReportChange(record, now);
    EnforceOn(record);
  }
  enforced_ = table_.records();
  if (has_new_order) {
    std::vector<std::uint64_t> orders;
    for (const auto& [service, record] : enforced_) {
      orders.push_back(record.order);
    }
    evidence_.KeepOnly(orders);
  }
}

void RolloutController::EnforceOn(const RolloutRecord& record) {
  if (record.outcome == RolloutOutcome::kCompleted) {
    gate_.SetTrusted(record.service, {record.target});
  } else if (record.HasEnded() && !record.from.empty()) {
    gate_.SetTrusted(record.service, record.from);
  }
  if (record.is_withdrawn && !record.IsCondemned()) {
    gate_.SetRule(record.service, std::nullopt);
    return;
  }
  GateRule rule{.order = record.order,
                .target = record.target,
                .from = record.from,
                .is_bad = record.IsCondemned()};
  if (record.outcome == RolloutOutcome::kCompleted) {
    rule.mode = GateRule::Mode::kTarget;
  } else if (!record.IsCondemned() && record.permitted_at) {
    const bool is_shifted = record.IsShifted();
    rule.mode = is_shifted ? GateRule::Mode::kTarget : GateRule::Mode::kTrial;
    rule.permitted_until = *record.permitted_at +
                           (is_shifted ? kShiftPermission : kTrialPermission);
  }
  gate_.SetRule(record.service, rule);
}

void RolloutController::ReportChange(const RolloutRecord& record,
                                     MonotonicTime now) {
  const auto it = enforced_.find(record.service);
  const bool is_known =
      it != enforced_.end() && it->second.order == record.order;
  for (RolloutEvent& event :
       EventsBetween(is_known ? &it->second : nullptr, record, now)) {
    events_.push_back(std::move(event));
    gate_changed_ = true;
  }
}

}  // namespace flamingogauge
