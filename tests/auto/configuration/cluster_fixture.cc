#include "tests/auto/configuration/cluster_fixture.h"

#include <utility>

#include "libs/document/document_json.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHeartbeat{500};
constexpr milliseconds kLatency{2};

Error Unreachable() {
  return Error{.code = ErrorCode::kUnavailable,
               .step = "test network",
               .peer = "",
               .message = "disconnected by the test"};
}

}  // namespace

class Cluster::Host : public ObjectStore,
                      public PeerTransport,
                      public MembershipView {
 public:
  Host(Cluster& cluster, Member self)
      : cluster_(cluster),
        self_(std::move(self)),
        members_(std::make_shared<MemberList>(1, self_)) {}

  // ObjectStore: the cluster's store, unless the host is cut off.
  void Get(std::string key, ObjectCallback callback) override {
    if (CheckStoreReachable(callback)) {
      cluster_.store.Get(std::move(key), std::move(callback));
    }
  }
  void Create(std::string key,
              std::string value,
              ObjectCallback callback) override {
    if (CheckStoreReachable(callback)) {
      cluster_.store.Create(std::move(key), std::move(value),
                            std::move(callback));
    }
  }
  void Update(std::string key,
              std::string value,
              std::uint64_t expected_version,
              ObjectCallback callback) override {
    if (CheckStoreReachable(callback)) {
      cluster_.store.Update(std::move(key), std::move(value), expected_version,
                            std::move(callback));
    }
  }
  void Delete(std::string key,
              std::uint64_t expected_version,
              VoidCallback callback) override {
    cluster_.store.Delete(std::move(key), expected_version,
                          std::move(callback));
  }
  void List(std::string prefix, ListCallback callback) override {
    cluster_.store.List(std::move(prefix), std::move(callback));
  }
  void Watch(std::string key,
             std::uint64_t after_version,
             std::chrono::milliseconds time_limit,
             ObjectCallback callback) override {
    if (CheckStoreReachable(callback)) {
      cluster_.store.Watch(std::move(key), after_version, time_limit,
                           std::move(callback));
    }
  }

  // PeerTransport: calls the handler of the other host, if it can be reached.
  void Handle(std::string /*channel*/, Handler handler) override {
    handler_ = std::move(handler);
  }
  void Call(HostId host,
            std::string /*channel*/,
            std::string payload,
            std::chrono::milliseconds time_limit,
            ReplyCallback callback) override {
    ++cluster_.peer_calls_;
    Cluster& cluster = cluster_;
    const HostId from = self_.host;
    if (!cluster.AreConnected(from, host)) {
      Post(cluster, time_limit, [callback] { callback(Unreachable()); });
      return;
    }
    Post(cluster, kLatency, [&cluster, from, host, payload, callback] {
      const auto it = cluster.hosts_.find(host);
      if (it == cluster.hosts_.end() || !it->second->handler_) {
        callback(Unreachable());
        return;
      }
      it->second->handler_(
          from, payload,
          [&cluster, callback](const Result<std::string>& reply) {
            Post(cluster, kLatency, [callback, reply] { callback(reply); });
          });
    });
  }

  // MembershipView.
  const Member& Self() const override { return self_; }
  std::shared_ptr<const MemberList> Current() const override {
    return members_;
  }
  void Subscribe(MembershipView::Listener listener) override {
    listener_ = std::move(listener);
  }
  void SetDocumentRevision(std::uint64_t revision) override {
    reported_revision_ = revision;
  }

  void SetMembers(std::shared_ptr<const MemberList> members) {
    members_ = std::move(members);
    if (listener_) {
      listener_(members_);
    }
  }
  Member AsMember() const {
    Member member = self_;
    member.document_revision = reported_revision_;
    return member;
  }

  bool is_cut_from_store = false;
  bool is_cut_from_peers = false;
  std::unique_ptr<ConfigurationCore> core;

 private:
  static void Post(Cluster& cluster,
                   Duration delay,
                   const std::function<void()>& task) {
    const bool posted = cluster.runner->PostAfter(
        delay, [alive = std::weak_ptr<bool>(cluster.alive_), task] {
          if (!alive.expired()) {
            task();
          }
        });
    static_cast<void>(posted);
  }

  bool CheckStoreReachable(const ObjectCallback& callback) {
    if (is_cut_from_store) {
      Post(cluster_, kLatency, [callback] { callback(Unreachable()); });
    }
    return !is_cut_from_store;
  }

  Cluster& cluster_;
  const Member self_;
  std::shared_ptr<const MemberList> members_;
  Handler handler_;
  MembershipView::Listener listener_;
  std::uint64_t reported_revision_ = 0;
};

Cluster::Cluster(std::uint64_t seed, ConfigurationSettings settings)
    : runner(std::make_shared<VirtualTaskRunner>()),
      store(*runner, seed),
      next_seed_(seed * 1000),
      settings_(std::move(settings)) {
  PublishMembership();
}

Cluster::~Cluster() {
  hosts_.clear();
  runner->DropTasks();
}

void Cluster::StartHost(const HostId& host, const DataCentreId& data_centre) {
  StopHost(host);
  const std::uint64_t seed = ++next_seed_;
  auto entry = std::make_unique<Host>(
      *this, Member{.host = host,
                    .data_centre = data_centre,
                    .region = "",
                    .peer_address = "",
                    .incarnation = {.high = 0, .low = seed}});
  entry->core = std::make_unique<ConfigurationCore>(
      CoreOptions{.runner = runner,
                  .store = entry.get(),
                  .settings = settings_,
                  .seed = seed,
                  .wall_clock = [] { return std::chrono::seconds(0); }});
  entry->core->Start(entry.get(), entry.get());
  entry->core->Subscribe(
      [this, host, before = std::uint64_t{0}](
          const std::shared_ptr<const Document>& document) mutable {
        if (document->revision <= before) {
          violations.push_back(host + ": revision " + std::to_string(before) +
                               " was followed by " +
                               std::to_string(document->revision));
        }
        before = document->revision;
        const auto known = documents_.emplace(document->revision, document);
        if (*known.first->second != *document) {
          violations.push_back(host + ": revision " +
                               std::to_string(document->revision) +
                               " differs from another host's");
        }
      });
  hosts_[host] = std::move(entry);
}

void Cluster::StopHost(const HostId& host) {
  hosts_.erase(host);
}

void Cluster::CutFromStore(const HostId& host, bool is_cut) {
  hosts_.at(host)->is_cut_from_store = is_cut;
}

void Cluster::CutFromPeers(const HostId& host, bool is_cut) {
  hosts_.at(host)->is_cut_from_peers = is_cut;
}

ConfigurationCore& Cluster::core(const HostId& host) {
  return *hosts_.at(host)->core;
}

std::vector<HostId> Cluster::Hosts() const {
  std::vector<HostId> names;
  for (const auto& [host, entry] : hosts_) {
    names.push_back(host);
  }
  return names;
}

std::uint64_t Cluster::Revision(const HostId& host) {
  const auto document = core(host).Current();
  return document ? document->revision : 0;
}

bool Cluster::AllHave(std::uint64_t revision) {
  for (const HostId& it : Hosts()) {
    if (Revision(it) != revision) {
      return false;
    }
  }
  return true;
}

Result<EditOutcome> Cluster::Apply(const HostId& host, SectionEdit edit) {
  auto result = std::make_shared<std::optional<Result<EditOutcome>>>();
  core(host).Apply(std::move(edit), [result](Result<EditOutcome> it) {
    *result = std::move(it);
  });
  if (!RunUntil([&] { return result->has_value(); }, std::chrono::minutes(1))) {
    return Unreachable();
  }
  return **result;
}

bool Cluster::RunUntil(const std::function<bool()>& condition,
                       Duration time_limit) {
  const MonotonicTime end = runner->Now() + time_limit;
  while (!condition()) {
    if (runner->Now() >= end || !runner->RunOne()) {
      return false;
    }
  }
  return true;
}

bool Cluster::AreConnected(const HostId& a, const HostId& b) const {
  const auto first = hosts_.find(a);
  const auto second = hosts_.find(b);
  return first != hosts_.end() && second != hosts_.end() &&
         !first->second->is_cut_from_peers &&
         !second->second->is_cut_from_peers;
}

// Gives each host the members that it can reach, as of the last heartbeat.
void Cluster::PublishMembership() {
  for (const auto& [host, entry] : hosts_) {
    auto members = std::make_shared<MemberList>();
    for (const auto& [other, other_entry] : hosts_) {
      if (other == host || AreConnected(host, other)) {
        members->push_back(other_entry->AsMember());
      }
    }
    entry->SetMembers(std::move(members));
  }
  const bool posted = runner->PostAfter(
      kHeartbeat, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) {
          PublishMembership();
        }
      });
  static_cast<void>(posted);
}

}  // namespace flamingogauge
