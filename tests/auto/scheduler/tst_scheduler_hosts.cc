#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libs/kernel/random.h"
#include "plugins/scheduler/scheduler_codec.h"
#include "plugins/scheduler/scheduler_core.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Simulates several hosts in virtual time, with delayed and lost batches. Each
// host has a different clock offset, so that mixing up clocks is detected.
class SimulatedHosts {
 public:
  struct Host {
    std::unique_ptr<SchedulerCore> core;
    milliseconds clock_offset{0};
    bool is_up = true;
    std::map<std::uint64_t, Permit> granted;
    std::map<std::uint64_t, Refusal> refused;
    int expired_grants = 0;
  };

  // `host_data_centres` holds the data centre of each host.
  SimulatedHosts(const std::vector<DataCentreId>& host_data_centres,
                 std::uint32_t concurrency,
                 double loss)
      : host_data_centres_(host_data_centres), loss_(loss) {
    Document document{.revision = 1};
    document.tiers.resize(kMaxTiers);
    document.models = {{.id = "m"}};
    document.workspaces = {
        {.id = "limited", .limits = {.requests_per_second = 20}},
        {.id = "narrow", .limits = {.concurrency = 4}}};
    for (const DataCentreId& it : std::set<DataCentreId>(
             host_data_centres.begin(), host_data_centres.end())) {
      document.upstreams.push_back({.id = "upstream-" + it,
                                    .targets = {"m"},
                                    .data_centre = it,
                                    .max_concurrency = concurrency});
      document.data_centres.push_back(
          {.id = it,
           .host_slots = static_cast<std::uint32_t>(std::count(
               host_data_centres.begin(), host_data_centres.end(), it))});
    }
    document_ = std::make_shared<const Document>(std::move(document));
    for (std::size_t it = 0; it < host_data_centres.size(); ++it) {
      Add(it);
    }
    ShareMembers();
  }

  MonotonicTime Now(std::size_t host) const {
    return MonotonicTime(seconds(1000) + time_ + hosts_[host].clock_offset);
  }

  RequestId Request(std::size_t host,
                    Tier tier,
                    milliseconds time_left,
                    const char* workspace = "w") {
    const RequestId id{.incarnation = {.low = host + 1},
                       .sequence = ++sequence_};
    hosts_[host].core->Request(Now(host), {.id = id,
                                           .target = "m",
                                           .workspace = workspace,
                                           .tier = tier,
                                           .fingerprint = {.low = sequence_},
                                           .prompt_tokens = 10,
                                           .max_output_tokens = 10,
                                           .time_left = time_left});
    return id;
  }

  void End(std::size_t host, std::uint64_t sequence) {
    const Permit permit = hosts_[host].granted.at(sequence);
    hosts_[host].granted.erase(sequence);
    hosts_[host].core->Report(Now(host), {.permit = permit.id,
                                          .request = permit.request,
                                          .upstream = permit.upstream,
                                          .end = PermitEnd::kCancelled});
  }

  void Stop(std::size_t host) {
    hosts_[host].is_up = false;
    ShareMembers();
  }

  void Run(milliseconds duration) {
    const milliseconds end = time_ + duration;
    for (; time_ < end; time_ += milliseconds(5)) {
      std::deque<Packet> due;
      due.swap(packets_);
      for (Packet& it : due) {
        Host& to = hosts_[it.to];
        if (to.is_up && !random_.NextBool(loss_)) {
          CHECK(to.core->OnPayload(Now(it.to), Name(it.from), it.payload)
                    .has_value());
        }
      }
      for (std::size_t it = 0; it < hosts_.size(); ++it) {
        if (hosts_[it].is_up) {
          hosts_[it].core->Advance(Now(it));
          hosts_[it].core->Flush(Now(it));
        }
      }
    }
  }

  std::size_t SchedulerIndex() const {
    for (std::size_t it = 0; it < hosts_.size(); ++it) {
      if (hosts_[it].is_up && hosts_[it].core->Dump(Now(it)).find(
                                  "\"is_mine\":true") != std::string::npos) {
        return it;
      }
    }
    return hosts_.size();
  }

  std::size_t InUse() const {
    std::size_t count = 0;
    for (const Host& it : hosts_) {
      count += it.is_up ? it.granted.size() : 0;
    }
    return count;
  }

  Host& operator[](std::size_t host) { return hosts_[host]; }
  std::size_t size() const { return hosts_.size(); }

 private:
  struct Packet {
    std::size_t from;
    std::size_t to;
    std::string payload;
  };

  static HostId Name(std::size_t host) { return "host" + std::to_string(host); }

  void Add(std::size_t index) {
    hosts_.emplace_back();
    Host& host = hosts_.back();
    host.clock_offset = seconds(5000) * static_cast<int>(index);
    SchedulerSettings settings;
    settings.host = Name(index);
    settings.data_centre = host_data_centres_[index];
    host.core = std::make_unique<SchedulerCore>(
        settings, Incarnation{.low = index + 1},
        [this, index](const HostId& to, std::string payload) {
          packets_.push_back(
              {index, std::stoul(to.substr(4)), std::move(payload)});
        });
    host.core->SetListener(
        {.on_granted =
             [this, index](const Permit& permit) {
               Host& it = hosts_[index];
               it.expired_grants += permit.expires_at <= Now(index) ? 1 : 0;
               it.granted[permit.request.sequence] = permit;
             },
         .on_refused =
             [this, index](RequestId id, Refusal refusal) {
               CHECK_FALSE(hosts_[index].refused.contains(id.sequence));
               hosts_[index].refused[id.sequence] = std::move(refusal);
             }});
    host.core->OnDocument(Now(index), seconds(0), document_);
  }

  void ShareMembers() {
    auto members = std::make_shared<MemberList>();
    for (std::size_t it = 0; it < hosts_.size(); ++it) {
      if (hosts_[it].is_up) {
        members->push_back(
            {.host = Name(it), .data_centre = host_data_centres_[it]});
      }
    }
    for (std::size_t it = 0; it < hosts_.size(); ++it) {
      if (hosts_[it].is_up) {
        hosts_[it].core->OnMembers(Now(it), members);
      }
    }
  }

  std::vector<DataCentreId> host_data_centres_;
  double loss_;
  Random random_{1};
  std::shared_ptr<const Document> document_;
  std::deque<Host> hosts_;
  std::deque<Packet> packets_;
  milliseconds time_{0};
  std::uint64_t sequence_ = 0;
};

// Guards against more permits than an upstream's capacity when several hosts
// send requests, and against an expiry computed from another host's clock.
TEST_CASE("SchedulerCore grants to all hosts of a data centre") {
  SimulatedHosts hosts({"a", "a", "a"}, 4, 0);
  for (std::size_t it = 0; it < 9; ++it) {
    hosts.Request(it % 3, 0, seconds(60));
  }
  hosts.Run(milliseconds(600));
  CHECK(hosts.InUse() == 4);
  hosts.Run(seconds(20));
  CHECK(hosts.InUse() == 4);
  while (hosts.InUse() > 0) {
    for (std::size_t it = 0; it < 3; ++it) {
      while (!hosts[it].granted.empty()) {
        hosts.End(it, hosts[it].granted.begin()->first);
      }
    }
    hosts.Run(milliseconds(100));
    CHECK(hosts.InUse() <= 4);
  }
  for (std::size_t it = 0; it < 3; ++it) {
    CHECK(hosts[it].core->IsIdle());
    CHECK(hosts[it].expired_grants == 0);
  }
}

// Guards against a takeover that loses waiting requests, ignores permits in
// use, or waits for the timeout although all members have reported.
TEST_CASE("SchedulerCore takes a group over from a lost host") {
  SimulatedHosts hosts({"a", "a", "a", "a"}, 3, 0);
  hosts.Run(milliseconds(600));
  const std::size_t scheduler = hosts.SchedulerIndex();
  REQUIRE(scheduler < hosts.size());
  std::vector<std::size_t> others;
  for (std::size_t it = 0; it < hosts.size(); ++it) {
    if (it != scheduler) {
      others.push_back(it);
      hosts.Request(it, 0, seconds(60));
    }
  }
  hosts.Run(milliseconds(100));
  // Each host now has one permit in use and gets one waiting request.
  for (const std::size_t it : others) {
    hosts.Request(it, 0, seconds(60));
  }
  hosts.Run(milliseconds(100));
  CHECK(hosts.InUse() == 3);
  hosts.Stop(scheduler);
  hosts.Run(milliseconds(100));
  CHECK(hosts.InUse() == 3);
  for (const std::size_t it : others) {
    REQUIRE(hosts[it].granted.size() == 1);
    hosts.End(it, hosts[it].granted.begin()->first);
  }
  hosts.Run(milliseconds(50));
  CHECK(hosts.InUse() == 3);
}

// Guards against a capacity refusal while a sibling group has free capacity
// (I2).
TEST_CASE("SchedulerCore sends a request to a sibling with room") {
  SimulatedHosts hosts({"a", "b"}, 1, 0);
  hosts.Run(milliseconds(600));
  // A steady stream of requests saturates "a" until it sheds requests.
  for (int it = 0; it < 400; ++it) {
    hosts.Request(0, 2, milliseconds(1500));
    hosts.Run(milliseconds(20));
    if (!hosts[0].granted.empty() && it % 5 == 0) {
      hosts.End(0, hosts[0].granted.begin()->first);
    }
  }
  hosts.Run(seconds(4));
  const std::string dump = hosts[0].core->Dump(hosts.Now(0));
  CHECK(dump.find("\"redirects\":0") == std::string::npos);
  int shed = 0;
  for (const auto& [sequence, it] : hosts[0].refused) {
    if (it.kind == RefusalKind::kCapacity) {
      ++shed;
      CHECK(it.message.find("1 of 1 answered") != std::string::npos);
    }
  }
  CHECK(shed > 0);
}

// Guards against unanswered requests and leaked slots when batches are lost.
TEST_CASE("SchedulerCore answers every request under loss") {
  SimulatedHosts hosts({"a", "a", "a"}, 2, 0.3);
  for (int it = 0; it < 300; ++it) {
    hosts.Request(static_cast<std::size_t>(it % 3), 1, seconds(8));
    hosts.Run(milliseconds(30));
    for (std::size_t host = 0; host < 3; ++host) {
      if (!hosts[host].granted.empty()) {
        hosts.End(host, hosts[host].granted.begin()->first);
      }
    }
  }
  for (int it = 0; it < 200; ++it) {
    hosts.Run(milliseconds(100));
    for (std::size_t host = 0; host < 3; ++host) {
      while (!hosts[host].granted.empty()) {
        hosts.End(host, hosts[host].granted.begin()->first);
      }
    }
  }
  for (std::size_t host = 0; host < 3; ++host) {
    CHECK(hosts[host].core->IsIdle());
    CHECK(hosts[host].core->Dump(hosts.Now(host)).find("\"in_use\":0") !=
          std::string::npos);
  }
}

// Guards against the use of a permit that is older than its time to live, for
// example because this host was suspended.
TEST_CASE("EntryRequests returns a permit that arrives late") {
  struct RecordingSender : MessageSender {
    void Send(const HostId&, SchedulerMessage message) override {
      messages.push_back(std::move(message));
    }
    std::vector<SchedulerMessage> messages;
  };
  struct Row {
    milliseconds age;
    int granted;
  };
  for (const Row& row : {Row{milliseconds(100), 1}, Row{milliseconds(1999), 0},
                         Row{seconds(600), 0}}) {
    CAPTURE(row.age.count());
    SchedulerSettings settings;
    RecordingSender sender;
    EntryRequests entry(settings, sender);
    int granted = 0;
    entry.SetListener({.on_granted = [&](const Permit&) { ++granted; },
                       .on_refused = [](RequestId, const Refusal&) {}});
    const MonotonicTime now(seconds(5000));
    entry.SetSchedulers(now, {{"m", "other"}});
    entry.Request(
        now, {.id = {.sequence = 1}, .target = "m", .time_left = seconds(60)});
    sender.messages.clear();
    entry.OnGrant(now, "other", "m",
                  {.permit = {.sequence = 2},
                   .request = {.sequence = 1},
                   .echo = (now - row.age).time_since_epoch()});
    CHECK(granted == row.granted);
    // The late permit is returned and the request is resent.
    CHECK(sender.messages.size() == (row.granted == 1 ? 0 : 2));
  }
}

// Guards against a workspace that exceeds its limit, and against one that is
// restricted to a single host's slot although the other hosts are idle.
TEST_CASE("SchedulerCore holds workspaces to their limits") {
  SimulatedHosts hosts({"a", "a", "a", "a"}, 1000, 0);
  hosts.Run(seconds(5));
  int granted = 0;
  for (int it = 0; it < 1500; ++it) {
    hosts.Request(0, 0, seconds(60), "limited");
    hosts.Run(milliseconds(10));
    while (!hosts[0].granted.empty()) {
      granted += it >= 500 ? 1 : 0;
      hosts.End(0, hosts[0].granted.begin()->first);
    }
  }
  // 10 s at 20 requests per second. The host's own slot is 5 per second; the
  // other hosts lend four fifths of theirs.
  CHECK(granted <= 20 * 11);
  CHECK(granted >= 15 * 10);
  for (const auto& [sequence, it] : hosts[0].refused) {
    CHECK(it.kind == RefusalKind::kWorkspaceLimit);
  }
  for (int it = 0; it < 10; ++it) {
    hosts.Request(1, 0, seconds(60), "narrow");
  }
  hosts.Run(milliseconds(100));
  CHECK(hosts[1].granted.size() == 1);
  hosts.End(1, hosts[1].granted.begin()->first);
  hosts.Request(1, 0, seconds(60), "narrow");
  hosts.Run(milliseconds(100));
  CHECK(hosts[1].granted.size() == 1);
}

// Guards against fields lost in serialization and against a crash on malformed
// payloads.
TEST_CASE("SchedulerBatch survives the wire and rejects other bytes") {
  const PermitRequest request{.id = {.incarnation = {1, 2}, .sequence = 3},
                              .target = "m",
                              .workspace = "w",
                              .tier = 4,
                              .fingerprint = {5, 6},
                              .prompt_tokens = 7,
                              .prefix_hashes = {8, 9},
                              .time_left = milliseconds(10),
                              .excluded = {"u"}};
  const std::string payload = EncodeBatch(
      {.clock = std::chrono::nanoseconds(11),
       .messages = {
           {.target = "m", .body = request},
           {.target = "m",
            .body = GrantMessage{.permit = {.sequence = 12},
                                 .upstream = "u",
                                 .address = "127.0.0.1:1",
                                 .echo = std::chrono::nanoseconds(13)}}}});
  const Result<SchedulerBatch> batch = DecodeBatch(payload);
  REQUIRE(batch.has_value());
  CHECK(EncodeBatch(batch.value()) == payload);
  const auto& read = std::get<PermitRequest>(batch.value().messages[0].body);
  CHECK(read.prefix_hashes == request.prefix_hashes);
  CHECK(read.excluded == request.excluded);
  for (const std::string& it :
       {std::string(), std::string("x"), payload.substr(0, 24),
        std::string(64, '\xff')}) {
    CHECK_FALSE(DecodeBatch(it).has_value());
  }
}

}  // namespace
}  // namespace flamingogauge
