#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "libs/directory/source_policy.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFreshLimit{2000};

HostEntry Host(const std::string& name,
               double capacity,
               const std::string& data_centre = "z1") {
  return {.name = name,
          .report_address = name + ":1",
          .data_centre = data_centre,
          .relay_address = name + ":2",
          .capacity = capacity};
}

// Four hosts of one data centre in the order a, b, c, d, and one of another.
std::vector<HostEntry> Hosts() {
  return {Host("d", 0.1), Host("b", 0.3), Host("a", 0.4), Host("c", 0.2),
          Host("x", 0.9, "z2")};
}

// Drives the policy of one host with a simulated clock.
class Driver {
 public:
  explicit Driver(const std::string& host)
      : policy_(
            {.host = host, .data_centre = "z1", .fresh_limit = kFreshLimit}) {
    policy_.SetHosts(Hosts());
  }

  SourceDecision Decide() { return policy_.Decide(now_); }
  void Wait(milliseconds time) { now_ += time; }
  void Confirm() { policy_.OnConfirmed(now_); }
  void Reply(const std::string& peer, bool follows_store = true) {
    policy_.OnReply(peer, follows_store, now_);
  }
  void Fail(const std::string& peer) { policy_.OnFailure(peer, now_); }
  SourcePolicy& policy() { return policy_; }
  MonotonicTime now() const { return now_; }

  std::string Peer() {
    const SourceDecision decision = Decide();
    return decision.peer ? decision.peer->name : "";
  }

 private:
  SourcePolicy policy_;
  MonotonicTime now_{std::chrono::hours(1)};
};

// Guards against calls to the store that grow with the number of hosts.
TEST_CASE("only the host of the largest capacity reads the store") {
  struct Case {
    const char* host;
    bool use_store;
    const char* peer;
  };
  for (const Case& it : std::vector<Case>{{"a", true, ""},
                                          {"b", false, "a"},
                                          {"c", false, "a"},
                                          {"d", false, "a"}}) {
    CAPTURE(it.host);
    Driver driver(it.host);
    driver.Confirm();
    CHECK(driver.Decide().use_store == it.use_store);
    CHECK(driver.Peer() == it.peer);
  }
}

// Guards against hosts of equal capacity that each believe to be the first.
TEST_CASE("hosts of equal capacity agree on the order") {
  const std::vector<HostEntry> hosts = {Host("h1", 0.2), Host("h2", 0.2),
                                        Host("h3", 0.2), Host("h4", 0.2)};
  int readers = 0;
  for (const HostEntry& it : hosts) {
    SourcePolicy policy({.host = it.name, .data_centre = "z1"});
    policy.SetHosts(hosts);
    readers += policy.rank() == 0 ? 1 : 0;
  }
  CHECK(readers == 1);
}

// Guards against a data centre without a reader after its first host died, and
// against all others reading the store at the same moment.
TEST_CASE("when the first host fails, the next in order takes over") {
  Driver b("b");
  b.Confirm();
  CHECK(b.Peer() == "a");
  b.Fail("a");
  CHECK_FALSE(b.Decide().use_store);
  b.Wait(milliseconds(20));
  CHECK(b.Decide().use_store);

  Driver d("d");
  d.Confirm();
  d.Reply("a");
  d.Fail("a");
  d.Wait(milliseconds(60));
  CHECK(d.Peer() == "b");
  CHECK_FALSE(d.Decide().use_store);
  d.Reply("b");
  d.Confirm();
  CHECK_FALSE(d.Decide().use_store);
}

// Guards against a host that keeps to a source which answers but has itself
// lost the store: keys would lapse on all hosts of the data centre.
TEST_CASE("a source that does not read the store is left") {
  Driver driver("c");
  driver.Confirm();
  driver.Reply("a", false);
  driver.Wait(milliseconds(50));
  CHECK(driver.Peer() == "b");
  driver.Reply("b", false);
  driver.Wait(milliseconds(80));
  CHECK(driver.Decide().use_store);
}

// Guards against a follower that is paused or cut off while its connection
// stays open: its document grows old although nothing fails.
TEST_CASE("a host whose document grows old reads the store itself") {
  Driver driver("b");
  driver.Confirm();
  driver.Reply("a");
  driver.Wait(kFreshLimit);
  CHECK_FALSE(driver.Decide().use_store);
  driver.Wait(milliseconds(1));
  CHECK_FALSE(driver.Decide().use_store);
  driver.Wait(milliseconds(20));
  CHECK(driver.Decide().use_store);
  driver.Confirm();
  CHECK_FALSE(driver.Decide().use_store);
}

// Guards against a host that goes back to a dead source and loses time on it,
// and against one that reads the store for ever.
TEST_CASE("a host that took over probes the better host before it stops") {
  Driver driver("b");
  driver.Confirm();
  driver.Fail("a");
  driver.Wait(milliseconds(200));
  driver.Confirm();
  SourceDecision decision = driver.Decide();
  CHECK(decision.use_store);
  REQUIRE(decision.probe);
  CHECK(decision.probe->name == "a");
  driver.Fail("a");
  driver.Wait(milliseconds(100));
  CHECK_FALSE(driver.Decide().probe);
  CHECK(driver.Decide().use_store);
  driver.Wait(milliseconds(200));
  CHECK(driver.Decide().probe);
  driver.Reply("a");
  decision = driver.Decide();
  CHECK_FALSE(decision.use_store);
  REQUIRE(decision.peer);
  CHECK(decision.peer->name == "a");
}

// Guards against a store that refuses one host and thereby cuts it off.
TEST_CASE("the first host asks others while the store fails for it") {
  Driver driver("a");
  driver.Confirm();
  driver.policy().SetStoreFailing(true);
  CHECK(driver.Decide().use_store);
  CHECK(driver.Peer() == "b");
  driver.Reply("b", false);
  driver.Wait(milliseconds(50));
  CHECK(driver.Peer() == "c");
  driver.Reply("c");
  CHECK(driver.Peer() == "c");
  driver.policy().SetStoreFailing(false);
  CHECK(driver.Peer().empty());
}

// Guards against a storm of calls when the store is away for all hosts: with 50
// hosts in a data centre, those of low rank ask it, one after the other.
TEST_CASE("few hosts ask a store that is away") {
  std::vector<HostEntry> hosts;
  for (int n = 0; n < 50; ++n) {
    hosts.push_back(Host("h" + std::to_string(n), 1.0 - n * 0.01));
  }
  struct Case {
    milliseconds outage;
    int most;
  };
  for (const Case& it : std::vector<Case>{{milliseconds(500), 6},
                                          {milliseconds(2000), 11},
                                          {milliseconds(9000), 22}}) {
    int readers = 0;
    for (const HostEntry& host : hosts) {
      SourcePolicy policy({.host = host.name, .data_centre = "z1"});
      policy.SetHosts(hosts);
      const MonotonicTime start{std::chrono::hours(1)};
      MonotonicTime now = start;
      policy.OnConfirmed(now);
      bool reads = false;
      for (; now - start < it.outage; now += milliseconds(10)) {
        const SourceDecision decision = policy.Decide(now);
        reads = reads || decision.use_store;
        if (decision.peer) {
          policy.OnReply(decision.peer->name, false, now);
        }
        policy.SetStoreFailing(decision.use_store);
      }
      readers += reads ? 1 : 0;
    }
    CAPTURE(it.outage.count());
    CHECK(readers <= it.most);
    CHECK(readers >= 1);
  }
}

// Guards against a host that is refused by all others because it was added a
// moment ago, and that then has no document.
TEST_CASE(
    "a host that is not listed at the others reads the store for a while") {
  Driver driver("d");
  driver.policy().OnNotListed("a", driver.now());
  CHECK(driver.Decide().use_store);
  CHECK_FALSE(driver.Decide().peer);
  driver.Confirm();
  driver.Wait(milliseconds(3001));
  CHECK(driver.Peer() == "b");
}

}  // namespace
}  // namespace flamingogauge
