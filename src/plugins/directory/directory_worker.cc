#include "plugins/directory/directory_worker.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <utility>

#include "libs/kernel/boot_clock.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kRingCapacity = 1024;
constexpr milliseconds kMinSleep{5};
constexpr milliseconds kMaxSleep{1000};
// How long a starting host waits for the list of hosts before it reads the rest
// of the store.
constexpr milliseconds kHostsListTimeLimit{150};
// At a first start, the time for all hosts to register.
constexpr milliseconds kFirstRegistrationTime{1200};
// Time beyond its wait that a question may take.
constexpr milliseconds kAskTimeLimit{400};
constexpr milliseconds kProbeTimeLimit{600};
// The interval between attempts to reach a failing store, of the first host of
// a data centre and of one that has taken over.
constexpr milliseconds kFirstRetryInterval{400};
constexpr milliseconds kTakeoverRetryInterval{1500};
// Added to the normal age of the document to tell that something is wrong.
constexpr milliseconds kFreshTolerance{300};

template <typename T>
std::shared_ptr<const std::vector<T>> CopyValues(
    const VersionedTable<T>& table) {
  auto values = std::make_shared<std::vector<T>>();
  values->reserve(table.entries().size());
  for (const auto& [name, value] : table.entries()) {
    values->push_back(*value);
  }
  return values;
}

std::string IpOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

SourcePolicyOptions PolicyOptions(const DirectorySettings& settings) {
  return {.host = settings.host.name,
          .data_centre = settings.host.data_centre,
          .fresh_limit = settings.normal_age + kFreshTolerance};
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
      ring_(std::make_shared<BoundedRing<DirectoryTask>>(kRingCapacity)),
      started_at_(BootTimeNow()),
      view_(static_cast<std::uint64_t>(started_at_.time_since_epoch().count())),
      policy_(PolicyOptions(settings)),
      reader_(settings,
              store,
              log,
              metrics,
              view_,
              ring_,
              [this](const FleetChanges& changes) { OnChanges(changes); }),
      registration_(settings.host, store, log, ring_) {
  snapshot_.upstreams = std::make_shared<std::vector<UpstreamEntry>>();
  snapshot_.hosts = std::make_shared<std::vector<HostEntry>>();
}

DirectoryWorker::~DirectoryWorker() {
  ring_->Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

Result<void> DirectoryWorker::Start() {
  if (!settings_.host.relay_address.empty()) {
    relay_ = std::make_unique<RelayNode>(
        [this](const RelayQuestion& question, RelayNode::ReplyCallback reply) {
          Post([this, question, reply = std::move(reply)] {
            OnQuestion(question, reply);
          });
        });
    Result<void> started = relay_->Start(settings_.host.relay_address);
    if (!started) {
      return started;
    }
  }
  RegisterGauges();
  thread_ = std::thread([this] { Run(); });
  return boost::outcome_v2::success();
}

void DirectoryWorker::RegisterGauges() {
  metrics_.SetGauge("flamingogauge_reads_store",
                    [this] { return reads_store_ ? 1.0 : 0.0; });
  metrics_.SetGauge("flamingogauge_store_era",
                    [this] { return static_cast<double>(store_era_); });
}

void DirectoryWorker::Run() {
  while (!ring_->IsClosed()) {
    const MonotonicTime now = BootTimeNow();
    reader_.RemoveMissing(now);
    OnChanges(view_.Advance(now));
    store_era_ = view_.era();
    if (!shutting_down_) {
      registration_.OnEra(store_era_, now);
      registration_.Update(view_.hosts().store_revision().is_known()
                               ? &view_.hosts().entries()
                               : nullptr,
                           settings_.first_start, now);
    }
    if (!IsJoining(now)) {
      ChooseSource(now);
    }
    reader_.StartCalls(WantsHosts(now), now);
    ReplyToQuestions(now);
    const Duration sleep =
        std::clamp<Duration>(NextWakeUp(now) - now, milliseconds(0), kMaxSleep);
    if (auto task = ring_->PopUntil(std::chrono::steady_clock::now() + sleep)) {
      (*task)();
    }
  }
}

bool DirectoryWorker::WantsHosts(MonotonicTime now) const {
  const bool others_registered =
      !settings_.first_start || now - started_at_ >= kFirstRegistrationTime;
  return others_registered && !reader_.has_listed_hosts();
}

bool DirectoryWorker::IsJoining(MonotonicTime now) const {
  if (relay_ == nullptr || view_.hosts().store_revision().is_known()) {
    return false;
  }
  const milliseconds limit = settings_.first_start
                                 ? kFirstRegistrationTime + kHostsListTimeLimit
                                 : kHostsListTimeLimit;
  return now - started_at_ < limit;
}

void DirectoryWorker::ChooseSource(MonotonicTime now) {
  if (relay_ == nullptr) {
    reader_.SetActive(true);
    reads_store_ = true;
    return;
  }
  policy_.SetStoreFailing(reader_.Reading(now) == StoreReading::kFailing);
  const SourceDecision decision = policy_.Decide(now);
  reader_.SetRetryInterval(policy_.rank() == 0 ? kFirstRetryInterval
                                               : kTakeoverRetryInterval);
  reader_.SetActive(decision.use_store);
  reads_store_ = decision.use_store;
  if (decision.peer) {
    Ask(*decision.peer, false, now);
  }
  if (decision.probe) {
    Ask(*decision.probe, true, now);
  }
  LogSource(decision);
}

void DirectoryWorker::Ask(const RelayPeer& peer,
                          bool is_probe,
                          MonotonicTime now) {
  if (!asked_at_.emplace(peer.name, now).second) {
    return;
  }
  RelayQuestion question = view_.QuestionFor(peer.name);
  question.is_probe = is_probe;
  question.is_stale = !policy_.IsFresh(now);
  question.wait = is_probe ? milliseconds(0) : settings_.relay_wait;
  const milliseconds limit =
      is_probe ? kProbeTimeLimit : settings_.relay_wait + kAskTimeLimit;
  relay_->Ask(peer, question, limit,
              [this, peer, now](Result<RelayReply> reply) {
                Post([this, peer, now, reply = std::move(reply)] {
                  OnReply(peer, now, reply);
                });
              });
}

void DirectoryWorker::OnReply(const RelayPeer& peer,
                              MonotonicTime asked_at,
                              const Result<RelayReply>& reply) {
  const MonotonicTime now = BootTimeNow();
  asked_at_.erase(peer.name);
  std::string_view result = "done";
  if (!reply) {
    result = "failed";
    policy_.OnFailure(peer.name, now);
    log_.Write(EventLine("directory.ask_failed")
                   .Text("host", peer.name)
                   .Text("reason", reply.error().message));
  } else if (reply.value().is_caller_unknown) {
    result = "not listed";
    policy_.OnNotListed(peer.name, now);
  } else {
    if (!reply.value().follows_store) {
      result = "does not read the store";
    }
    policy_.OnReply(peer.name, reply.value().follows_store, now);
    OnChanges(view_.ApplyReply(peer.name, reply.value(), asked_at, now));
  }
  metrics_.Add("flamingogauge_relay_questions_total", Label("result", result));
}

void DirectoryWorker::OnQuestion(const RelayQuestion& question,
                                 RelayNode::ReplyCallback reply) {
  questions_.Add(question, std::move(reply), BootTimeNow());
}

void DirectoryWorker::ReplyToQuestions(MonotonicTime now) {
  // A reply takes some time, after which it should still be recent.
  questions_.ReplyToDue(view_, reader_.Reading(now), settings_.normal_age / 2,
                        now);
}

void DirectoryWorker::OnChanges(const FleetChanges& changes) {
  if (changes.confirmation) {
    policy_.OnConfirmed(view_.routing_confirmed_at());
    snapshot_.routing_confirmed_at = view_.routing_confirmed_at();
  }
  if (changes.routing) {
    snapshot_.routing = view_.routing();
    LogRouting();
  }
  if (changes.upstreams) {
    snapshot_.upstreams = CopyValues(view_.upstreams());
  }
  if (changes.hosts) {
    OnHostsChanged();
  }
  if (changes.rollouts) {
    CopyRollouts();
  }
  if (changes.confirmation || changes.routing || changes.upstreams ||
      changes.hosts || changes.rollouts) {
    Publish();
  }
}

void DirectoryWorker::CopyRollouts() {
  auto orders = std::make_shared<std::vector<RolloutOrder>>();
  for (const auto& [name, order] : reader_.rollouts()) {
    orders->push_back(*order);
  }
  snapshot_.rollouts = std::move(orders);
}

void DirectoryWorker::OnHostsChanged() {
  snapshot_.hosts = CopyValues(view_.hosts());
  policy_.SetHosts(*snapshot_.hosts);
  if (relay_ == nullptr) {
    return;
  }
  std::set<std::string> addresses;
  for (const HostEntry& it : *snapshot_.hosts) {
    addresses.insert(IpOf(it.relay_address));
  }
  relay_->SetAllowedAddresses(std::move(addresses));
}

MonotonicTime DirectoryWorker::NextWakeUp(MonotonicTime now) const {
  MonotonicTime at = std::min({reader_.WakeAt(WantsHosts(now)),
                               questions_.NextDueAt(reader_.Reading(now)),
                               registration_.WakeAt()});
  if (settings_.first_start && !reader_.has_listed_hosts()) {
    const MonotonicTime registered_at = started_at_ + kFirstRegistrationTime;
    at = std::min(at, std::max(registered_at, now + kMinSleep));
  }
  if (IsJoining(now)) {
    at = std::min(at, now + kHostsListTimeLimit);
  }
  return relay_ == nullptr ? at : std::min(at, policy_.WakeAt(now));
}

void DirectoryWorker::LogSource(const SourceDecision& decision) {
  const std::string before = source_.peer ? source_.peer->name : "";
  const std::string after = decision.peer ? decision.peer->name : "";
  if (decision.use_store == source_.use_store && before == after) {
    return;
  }
  // Between two questions of a search there is no peer for a moment.
  const bool is_pause =
      decision.use_store == source_.use_store && after.empty();
  if (is_pause) {
    return;
  }
  source_ = decision;
  {
    std::lock_guard<std::mutex> lock(dump_mutex_);
    published_source_ = decision;
  }
  log_.Write(
      EventLine("directory.source")
          .Text("reads_store", decision.use_store ? "yes" : "no")
          .Text("asks", after)
          .Number("rank", static_cast<std::int64_t>(policy_.rank()))
          .Milliseconds("routing_age_ms",
                        view_.routing()
                            ? BootTimeNow() - view_.routing_confirmed_at()
                            : Duration::zero()));
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

void DirectoryWorker::Post(DirectoryTask task) {
  if (!ring_->TryPush(std::move(task)) && !ring_->IsClosed()) {
    log_.Write(EventLine("directory.dropped")
                   .Text("reason", "the task queue is full"));
  }
}

void DirectoryWorker::SetWaits(const DirectorySettings& settings) {
  Post([this, settings] {
    settings_.relay_wait = settings.relay_wait;
    settings_.normal_age = settings.normal_age;
    policy_.SetFreshLimit(settings.normal_age + kFreshTolerance);
    reader_.SetWaits(settings);
  });
}

void DirectoryWorker::OnHostSilent(const std::string& host) {
  Post([this, host] {
    // One host of each data centre removes entries, so that the store is not
    // asked by all of them.
    if (!view_.hosts().entries().contains(host) ||
        host == settings_.host.name ||
        reader_.Reading(BootTimeNow()) != StoreReading::kWorking) {
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

void DirectoryWorker::OnHostUnlisted(const std::string& host) {
  Post([this, host] {
    if (!view_.hosts().entries().contains(host)) {
      reader_.RefreshHosts(BootTimeNow());
    }
  });
}

void DirectoryWorker::BeginShutdown() {
  Post([this] { shutting_down_ = true; });
}

void DirectoryWorker::Publish() {
  snapshot_.reads_store = reads_store_;
  {
    std::lock_guard<std::mutex> lock(dump_mutex_);
    published_ = snapshot_;
  }
  listener_(snapshot_);
}

std::string DirectoryWorker::DumpState() const {
  std::lock_guard<std::mutex> lock(dump_mutex_);
  nlohmann::json dump = {
      {"routing_version", 0},
      {"routing_age_ms", nullptr},
      {"reads_store", reads_store_.load()},
      {"store_era", store_era_.load()},
      {"asks", published_source_.peer ? published_source_.peer->name : ""},
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
