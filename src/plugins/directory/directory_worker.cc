#include "plugins/directory/directory_worker.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

#include "libs/kernel/boot_clock.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kRingCapacity = 256;
constexpr milliseconds kMaxSleep{1000};
constexpr milliseconds kRegisterRetryInterval{1000};
// So long that no outage reaches it: missing hosts are removed at once, even
// after an outage of the store.
constexpr std::chrono::hours kGracePeriodDisabled{24 * 365};

template <typename T>
std::shared_ptr<const std::vector<T>> CopyValues(
    const TableFollower<T>& follower) {
  auto values = std::make_shared<std::vector<T>>();
  for (const auto& [name, value] : follower.entries()) {
    values->push_back(*value);
  }
  return values;
}

template <typename T>
constexpr std::string_view kTableName;
template <>
constexpr std::string_view kTableName<RoutingTable> = "routing";
template <>
constexpr std::string_view kTableName<UpstreamEntry> = "upstreams";
template <>
constexpr std::string_view kTableName<HostEntry> = "hosts";

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

DirectoryWorker::DirectoryWorker(const DirectorySettings& settings,
                                 FleetStore& store,
                                 EventLog& log,
                                 MetricsRegistry& metrics,
                                 FleetSource::Listener listener)
    : settings_(settings),
      store_(store),
      log_(log),
      metrics_(metrics),
      listener_(std::move(listener)),
      ring_(std::make_shared<BoundedRing<Task>>(kRingCapacity)),
      routing_(TableFollowerOptions()),
      upstreams_(TableFollowerOptions()),
      hosts_({.min_call_interval = settings.hosts_interval,
              .min_outage = kGracePeriodDisabled}) {
  snapshot_.upstreams = std::make_shared<std::vector<UpstreamEntry>>();
  snapshot_.hosts = std::make_shared<std::vector<HostEntry>>();
  thread_ = std::thread([this] { Run(); });
}

DirectoryWorker::~DirectoryWorker() {
  ring_->Close();
  thread_.join();
}

void DirectoryWorker::Run() {
  while (!ring_->IsClosed()) {
    const MonotonicTime now = BootTimeNow();
    if (upstreams_.RemoveMissing(now)) {
      snapshot_.upstreams = CopyValues(upstreams_);
      Publish();
    }
    Register(now);
    StartCalls(now);
    const Duration sleep =
        std::clamp<Duration>(NextWakeUp() - now, milliseconds(0), kMaxSleep);
    if (auto task = ring_->PopUntil(std::chrono::steady_clock::now() + sleep)) {
      (*task)();
    }
  }
}

MonotonicTime DirectoryWorker::NextWakeUp() const {
  MonotonicTime at =
      std::min({routing_.WakeAt(), upstreams_.WakeAt(), hosts_.WakeAt()});
  if (!registered_ && !registering_) {
    at = std::min(at, next_register_at_);
  }
  return at;
}

void DirectoryWorker::Post(Task task) {
  if (!ring_->TryPush(std::move(task))) {
    log_.Write(EventLine("directory.dropped")
                   .Text("reason", "the task queue is full or closed"));
  }
}

void DirectoryWorker::StartCalls(MonotonicTime now) {
  StartCall(routing_, store_.routing(), settings_.routing_watch_wait, false,
            now);
  StartCall(upstreams_, store_.upstreams(), settings_.upstreams_watch_wait,
            false, now);
  // The list of hosts is only used to divide limits, so a stale list is
  // acceptable.
  StartCall(hosts_, store_.hosts(), milliseconds(0), true, now);
}

template <typename T>
void DirectoryWorker::StartCall(TableFollower<T>& follower,
                                FleetTable<T>& table,
                                milliseconds wait,
                                bool may_be_stale,
                                MonotonicTime now) {
  const std::optional<TableCall> call = follower.NextCall(now);
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
void DirectoryWorker::OnAnswer(TableFollower<T>& follower,
                               const Result<FleetPage<T>>& answer) {
  const bool changed = follower.OnAnswer(answer, BootTimeNow());
  CountCall(kTableName<T>, answer ? nullptr : &answer.error());
  if constexpr (std::is_same_v<T, HostEntry>) {
    // This table is read by lists only, not watched.
    follower.RequestList();
    if (changed) {
      snapshot_.hosts = CopyValues(hosts_);
      Publish();
    }
    return;
  } else {
    LogStoreAvailability(answer ? nullptr : &answer.error());
  }
  if constexpr (std::is_same_v<T, RoutingTable>) {
    if (!answer || routing_.entries().empty()) {
      return;
    }
    const auto& newest = routing_.entries().begin()->second;
    if (snapshot_.routing && newest->version < snapshot_.routing->version) {
      // Versions only increase; an older one does not confirm the current
      // document.
      log_.Write(
          EventLine("routing.regressed")
              .Number("version", static_cast<std::int64_t>(newest->version))
              .Number("kept_version",
                      static_cast<std::int64_t>(snapshot_.routing->version)));
      return;
    }
    snapshot_.routing_confirmed_at = routing_.confirmed_at();
    if (changed && newest != snapshot_.routing) {
      snapshot_.routing = newest;
      LogRouting();
    }
    Publish();
  } else if (changed) {
    snapshot_.upstreams = CopyValues(upstreams_);
    Publish();
  }
}

void DirectoryWorker::LogRouting() {
  log_.Write(
      EventLine("routing.applied")
          .Number("version",
                  static_cast<std::int64_t>(snapshot_.routing->version))
          .Number("routes",
                  static_cast<std::int64_t>(snapshot_.routing->route_count()))
          .Number("workspaces", static_cast<std::int64_t>(
                                    snapshot_.routing->workspaces.size())));
}

void DirectoryWorker::CountCall(std::string_view table, const Error* error) {
  metrics_.Add(
      "flamingogauge_store_calls_total",
      Label("table", table) + "," + Label("result", CallResultName(error)));
}

void DirectoryWorker::LogStoreAvailability(const Error* error) {
  const bool failing = routing_.is_failing() || upstreams_.is_failing();
  if (failing == store_failing_) {
    return;
  }
  store_failing_ = failing;
  EventLine line(failing ? "store.lost" : "store.regained");
  if (error != nullptr) {
    line.Text("step", error->step)
        .Text("peer", error->peer)
        .Text("reason", error->message);
  }
  log_.Write(std::move(line));
}

void DirectoryWorker::Register(MonotonicTime now) {
  if (registered_ || registering_ || leaving_ || now < next_register_at_) {
    return;
  }
  registering_ = true;
  store_.RegisterHost(settings_.host, [this, ring = ring_](
                                          const Result<void>& result) {
    // The queue is closed when this object is being destroyed.
    (void)ring->TryPush([this, result] {
      registering_ = false;
      registered_ = result.has_value();
      next_register_at_ = BootTimeNow() + kRegisterRetryInterval;
      log_.Write(
          EventLine("host.register")
              .Text("result", registered_ ? "done" : ToString(result.error())));
    });
  });
}

void DirectoryWorker::SetWaits(const DirectorySettings& settings) {
  Post([this, settings] {
    settings_.routing_watch_wait = settings.routing_watch_wait;
    settings_.upstreams_watch_wait = settings.upstreams_watch_wait;
  });
}

void DirectoryWorker::OnHostSilent(const std::string& host) {
  Post([this, host] {
    if (!hosts_.entries().contains(host) || store_failing_ ||
        host == settings_.host.name) {
      return;
    }
    store_.RemoveHost(host, [this, host](const Result<void>& result) {
      log_.Write(
          EventLine("host.removed")
              .Text("host", host)
              .Text("reason", "silent")
              .Text("result", result ? "done" : ToString(result.error())));
    });
  });
}

void DirectoryWorker::Deregister(std::function<void()> done) {
  Post([this, done = std::move(done)] {
    leaving_ = true;
    registered_ = false;
    store_.RemoveHost(settings_.host.name,
                      [done](const Result<void>& /*result*/) { done(); });
  });
}

void DirectoryWorker::Publish() {
  {
    std::lock_guard<std::mutex> lock(dump_mutex_);
    published_ = snapshot_;
  }
  listener_(snapshot_);
}

std::string DirectoryWorker::DumpState() const {
  std::lock_guard<std::mutex> lock(dump_mutex_);
  nlohmann::json dump = {{"routing_version", 0},
                         {"routing_age_ms", nullptr},
                         {"upstreams", nlohmann::json::array()},
                         {"hosts", nlohmann::json::array()}};
  if (published_.routing) {
    dump["routing_version"] = published_.routing->version;
    dump["routing_age_ms"] =
        std::chrono::duration_cast<milliseconds>(
            BootTimeNow() - published_.routing_confirmed_at)
            .count();
  }
  if (published_.upstreams) {
    for (const UpstreamEntry& it : *published_.upstreams) {
      dump["upstreams"].push_back(
          {{"id", it.id}, {"address", it.address}, {"draining", it.draining}});
    }
  }
  if (published_.hosts) {
    for (const HostEntry& it : *published_.hosts) {
      dump["hosts"].push_back(it.name);
    }
  }
  return dump.dump();
}

}  // namespace flamingogauge
