#include "plugins/directory/store_reader.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include "libs/kernel/boot_clock.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// So long that no outage reaches it: missing hosts are removed at once, even
// after an outage of the store.
constexpr std::chrono::hours kGracePeriodDisabled{24 * 365};
// Shortly after the start, other hosts may be starting too, so that the list is
// read more often.
constexpr milliseconds kStartupHostsInterval{1000};
constexpr std::chrono::seconds kStartupPeriod{4};
// Bounds the calls that hosts which are not listed can cause.
constexpr milliseconds kMinHostsRefreshInterval{500};
// How long calls must have failed before other hosts are told, so that a single
// lost answer does not make another host take over.
constexpr milliseconds kFailureTolerance{500};
// Between log lines about left-out entries of one table, which may be part of
// each answer.
constexpr std::chrono::seconds kLeftOutLogInterval{10};

template <typename T>
constexpr std::string_view kTableName;
template <>
constexpr std::string_view kTableName<RoutingTable> = "routing";
template <>
constexpr std::string_view kTableName<UpstreamEntry> = "upstreams";
template <>
constexpr std::string_view kTableName<HostEntry> = "hosts";
template <>
constexpr std::string_view kTableName<RolloutOrder> = "rollouts";

std::string_view CallResultName(const Error* error) {
  if (error == nullptr) {
    return "done";
  }
  switch (error->code) {
    case ErrorCode::kNotFound:
      return "history gone";
    case ErrorCode::kResourceExhausted:
      return "over the rate";
    case ErrorCode::kTimeout:
      return "timed out";
    default:
      return "failed";
  }
}

}  // namespace

StoreReader::StoreReader(const DirectorySettings& settings,
                         FleetStore& store,
                         EventLog& log,
                         MetricsRegistry& metrics,
                         FleetView& view,
                         std::shared_ptr<BoundedRing<DirectoryTask>> ring,
                         std::function<void(const FleetChanges&)> on_changes)
    : settings_(settings),
      store_(store),
      log_(log),
      metrics_(metrics),
      view_(view),
      ring_(std::move(ring)),
      on_changes_(std::move(on_changes)),
      routing_(TableFollowerOptions()),
      upstreams_(TableFollowerOptions()),
      hosts_({.min_outage = kGracePeriodDisabled}),
      // A removed order must not go on after an outage.
      rollouts_({.min_outage = kGracePeriodDisabled}),
      started_at_(BootTimeNow()) {}

void StoreReader::SetWaits(const DirectorySettings& settings) {
  settings_.routing_watch_wait = settings.routing_watch_wait;
  settings_.upstreams_watch_wait = settings.upstreams_watch_wait;
}

void StoreReader::SetActive(bool active) {
  if (active == active_) {
    return;
  }
  active_ = active;
  has_confirmed_ = false;
  if (!active) {
    return;
  }
  // A call in flight from an earlier period is completed first.
  if (!routing_.in_flight()) {
    routing_.RequestList();
  }
}

// While another host was the source, this follower fell behind the view.
void StoreReader::CatchUpWithView() {
  const VersionedTable<UpstreamEntry>& known = view_.upstreams();
  if (!upstreams_.in_flight() &&
      upstreams_.newest_revision() < known.store_revision()) {
    upstreams_.Resume(known.entries(), known.store_revision());
  }
}

void StoreReader::SetRetryInterval(milliseconds interval) {
  routing_.SetRetryInterval(interval);
  upstreams_.SetRetryInterval(interval);
}

void StoreReader::StartCalls(bool wants_hosts, MonotonicTime now) {
  if (active_) {
    StartCall(routing_, store_.routing(), settings_.routing_watch_wait, false,
              now);
  }
  // While the store fails, one call at a time finds out when it is back.
  if (active_ && !routing_.is_failing()) {
    CatchUpWithView();
    StartCall(upstreams_, store_.upstreams(), settings_.upstreams_watch_wait,
              false, now);
    if (settings_.follows_rollouts) {
      StartCall(rollouts_, store_.rollouts(), settings_.rollouts_watch_wait,
                false, now);
    }
  }
  if ((active_ || wants_hosts) && now >= next_hosts_list_at_) {
    // In general the list of hosts is not needed at its newest. A list that may
    // be stale costs a tenth.
    StartCall(hosts_, store_.hosts(), milliseconds(0), !wants_newest_hosts_,
              now);
  }
}

void StoreReader::RefreshHosts(MonotonicTime now) {
  if (!active_ || now - hosts_refreshed_at_ < kMinHostsRefreshInterval) {
    return;
  }
  hosts_refreshed_at_ = now;
  next_hosts_list_at_ = now;
  wants_newest_hosts_ = true;
}

void StoreReader::RemoveMissing(MonotonicTime now) {
  CatchUpWithView();
  if (upstreams_.RemoveMissing(now)) {
    on_changes_(view_.ReplaceUpstreams(upstreams_.entries(),
                                       upstreams_.revision(), now));
  }
  if (rollouts_.RemoveMissing(now)) {
    on_changes_({.rollouts = true});
  }
}

MonotonicTime StoreReader::WakeAt(bool wants_hosts) const {
  MonotonicTime at = MonotonicTime::max();
  if (active_) {
    at = routing_.is_failing()
             ? routing_.WakeAt()
             : std::min(routing_.WakeAt(), upstreams_.WakeAt());
    if (settings_.follows_rollouts && !routing_.is_failing()) {
      at = std::min(at, rollouts_.WakeAt());
    }
  }
  if ((active_ || wants_hosts) && !hosts_.in_flight()) {
    at = std::min(at, std::max(hosts_.WakeAt(), next_hosts_list_at_));
  }
  return at;
}

StoreReading StoreReader::Reading(MonotonicTime now) const {
  if (!active_) {
    return StoreReading::kNone;
  }
  const std::optional<MonotonicTime> failing_since = FailingSince();
  if (failing_since && now - *failing_since >= kFailureTolerance) {
    return StoreReading::kFailing;
  }
  return has_confirmed_ ? StoreReading::kWorking : StoreReading::kStarting;
}

std::optional<MonotonicTime> StoreReader::FailingSince() const {
  const auto routing = routing_.failing_since();
  const auto upstreams = upstreams_.failing_since();
  if (routing && upstreams) {
    return std::min(*routing, *upstreams);
  }
  return routing ? routing : upstreams;
}

template <typename T>
void StoreReader::StartCall(TableFollower<T>& follower,
                            FleetTable<T>& table,
                            milliseconds wait,
                            bool may_be_stale,
                            MonotonicTime now) {
  const std::optional<TableCall> call = follower.NextCall(now, wait);
  if (!call) {
    return;
  }
  auto done = [this, &follower, ring = ring_](Result<FleetPage<T>> answer) {
    auto shared = std::make_shared<Result<FleetPage<T>>>(std::move(answer));
    // The queue is closed when this object is being destroyed.
    if (!ring->TryPush(
            [this, &follower, shared] { OnAnswer(follower, *shared); }) &&
        !ring->IsClosed()) {
      log_.Write(EventLine("directory.dropped")
                     .Text("reason", "the task queue is full"));
    }
  };
  if (call->is_watch && !may_be_stale) {
    table.Watch(call->revision, wait, std::move(done));
  } else {
    table.List(call->after, may_be_stale, std::move(done));
  }
}

template <typename T>
void StoreReader::OnAnswer(TableFollower<T>& follower,
                           const Result<FleetPage<T>>& answer) {
  const Error* error = answer ? nullptr : &answer.error();
  if (answer) {
    ReportLeftOut(answer.value(), BootTimeNow());
    CheckEra(kTableName<T>, answer.value().store_revision, BootTimeNow());
  }
  const bool changed = follower.OnAnswer(answer, BootTimeNow());
  CountCall(kTableName<T>, error);
  const FleetChanges changes = ApplyAnswer(follower, changed);
  if constexpr (std::is_same_v<T, RoutingTable> ||
                std::is_same_v<T, UpstreamEntry>) {
    LogAvailability(error);
  }
  if (error == nullptr) {
    on_changes_(changes);
  }
}

FleetChanges StoreReader::ApplyAnswer(
    const TableFollower<RoutingTable>& follower,
    bool /*changed*/) {
  if (follower.is_failing() || !follower.revision().is_known() ||
      follower.entries().empty()) {
    return {};
  }
  const auto& newest = follower.entries().begin()->second;
  if (view_.routing() && newest->version < view_.routing()->version) {
    // Versions only increase; an older one does not confirm the current
    // document.
    LogRegression(*newest);
    return {};
  }
  has_confirmed_ = true;
  return view_.ApplyRouting(newest, follower.revision(),
                            follower.confirmed_at());
}

FleetChanges StoreReader::ApplyAnswer(
    const TableFollower<UpstreamEntry>& follower,
    bool changed) {
  if (follower.is_failing() || !follower.revision().is_known()) {
    return {};
  }
  FleetChanges changes = view_.ReplaceUpstreams(
      follower.entries(), follower.revision(), BootTimeNow());
  changes.upstreams |= changed;
  return changes;
}

FleetChanges StoreReader::ApplyAnswer(const TableFollower<HostEntry>& follower,
                                      bool /*changed*/) {
  FleetChanges changes;
  const bool is_complete =
      !follower.is_failing() && follower.revision().is_known();
  if (is_complete) {
    changes = view_.ReplaceHosts(follower.entries(), follower.revision());
    changes.hosts |= !std::exchange(has_listed_hosts_, true);
    wants_newest_hosts_ = false;
    const MonotonicTime now = BootTimeNow();
    next_hosts_list_at_ =
        now + (now - started_at_ < kStartupPeriod
                   ? std::min(kStartupHostsInterval, settings_.hosts_interval)
                   : settings_.hosts_interval);
  }
  // This table is read by lists only, not watched.
  hosts_.RequestList();
  return changes;
}

FleetChanges StoreReader::ApplyAnswer(
    const TableFollower<RolloutOrder>& follower,
    bool changed) {
  return {.rollouts = changed && !follower.is_failing() &&
                      follower.revision().is_known()};
}

void StoreReader::CountCall(std::string_view table, const Error* error) {
  metrics_.Add(
      "flamingogauge_store_calls_total",
      Label("table", table) + "," + Label("result", CallResultName(error)));
}

template <typename T>
void StoreReader::ReportLeftOut(const FleetPage<T>& page, MonotonicTime now) {
  if (page.left_out.empty()) {
    return;
  }
  const std::string_view table = kTableName<T>;
  metrics_.Add("flamingogauge_entries_left_out_total", Label("table", table),
               static_cast<double>(page.left_out.size()));
  const auto [it, is_first] = left_out_logged_at_.try_emplace(table, now);
  if (!is_first && now - it->second < kLeftOutLogInterval) {
    return;
  }
  it->second = now;
  const LeftOutEntry& first = page.left_out.front();
  log_.Write(
      EventLine("directory.entry_left_out")
          .Text("table", table)
          .Text("name", first.name)
          .Number("revision", static_cast<std::int64_t>(first.revision))
          .Number("entries", static_cast<std::int64_t>(page.left_out.size())));
}

void StoreReader::CheckEra(std::string_view table,
                           const StoreRevision& revision,
                           MonotonicTime now) {
  if (newest_.is_known() && revision.era > newest_.era) {
    LogEra(table, revision);
    routing_.OnEra(revision.era, now);
    upstreams_.OnEra(revision.era, now);
    hosts_.OnEra(revision.era, now);
    rollouts_.OnEra(revision.era, now);
  }
  newest_ = std::max(newest_, revision);
}

void StoreReader::LogEra(std::string_view table,
                         const StoreRevision& revision) {
  metrics_.Add("flamingogauge_store_eras_total", "");
  log_.Write(EventLine("store.era")
                 .Text("table", table)
                 .Number("era", static_cast<std::int64_t>(revision.era))
                 .Number("revision", static_cast<std::int64_t>(revision.number))
                 .Number("era_before", static_cast<std::int64_t>(newest_.era))
                 .Number("revision_before",
                         static_cast<std::int64_t>(newest_.number)));
}

void StoreReader::LogAvailability(const Error* error) {
  const bool failing = routing_.is_failing() || upstreams_.is_failing();
  if (failing == failure_logged_) {
    return;
  }
  failure_logged_ = failing;
  EventLine line(failing ? "store.lost" : "store.regained");
  if (error != nullptr) {
    line.Text("step", error->step)
        .Text("peer", error->peer)
        .Text("reason", error->message);
  }
  log_.Write(std::move(line));
}

void StoreReader::LogRegression(const RoutingTable& routing) {
  log_.Write(EventLine("routing.regressed")
                 .Number("version", static_cast<std::int64_t>(routing.version))
                 .Number("kept_version",
                         static_cast<std::int64_t>(view_.routing()->version)));
}

}  // namespace flamingogauge
