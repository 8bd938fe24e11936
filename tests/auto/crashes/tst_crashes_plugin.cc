#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "libs/kernel/plugin_manager.h"
#include "libs/services/membership_view.h"
#include "libs/services/quarantine_service.h"
#include "plugins/crashes/crashes_plugin.h"
#include "plugins/crashes/quarantine_codec.h"
#include "plugins/peers/peers_plugin.h"

namespace flamingogauge {
namespace {

// A host that runs the peers and crashes plugins.
class TestHost {
 public:
  TestHost(const std::string& name,
           const std::string& data_centre,
           const std::vector<std::string>& seeds) {
    manager_.Add(std::make_unique<PeersPlugin>(PeersSettings{
        .host = name, .data_centre = data_centre, .seeds = seeds}));
    manager_.Add(std::make_unique<CrashesPlugin>(CrashesSettings{}));
    REQUIRE(manager_.Start().has_value());
  }

  QuarantineService& quarantine() {
    return *manager_.registry()
                .Find<QuarantineService>(QuarantineService::kServiceName)
                .value();
  }
  MembershipView& membership() {
    return *manager_.registry()
                .Find<MembershipView>(MembershipView::kServiceName)
                .value();
  }

 private:
  PluginManager manager_;
};

// Waits up to 10 s until `condition` holds.
bool Eventually(const std::function<bool()>& condition) {
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

constexpr Fingerprint kFingerprint{.high = 3, .low = 4};

// Guards against a quarantine or release that is not propagated to other hosts,
// a quarantine that takes longer than 1 s, and hosts that start later and do
// not receive it.
TEST_CASE("Quarantine and release reach all hosts, including later ones") {
  TestHost a("a", "north", {});
  const std::vector<std::string> seeds{a.membership().Self().peer_address};
  TestHost b("b", "north", seeds);
  TestHost c("c", "south", seeds);
  TestHost d("d", "south", seeds);
  const std::vector<TestHost*> hosts{&a, &b, &c, &d};
  for (TestHost* it : hosts) {
    REQUIRE(
        Eventually([it] { return it->membership().Current()->size() == 4; }));
  }
  const auto start = std::chrono::steady_clock::now();
  c.quarantine().Quarantine(kFingerprint);
  for (TestHost* it : hosts) {
    CHECK(Eventually(
        [it] { return it->quarantine().IsQuarantined(kFingerprint); }));
  }
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(1));
  TestHost late("late", "south", seeds);
  CHECK(Eventually(
      [&] { return late.quarantine().IsQuarantined(kFingerprint); }));
  CHECK(late.quarantine().List().size() == 1);
  CHECK(a.quarantine().Release(kFingerprint));
  for (TestHost* it : hosts) {
    CHECK(Eventually(
        [it] { return !it->quarantine().IsQuarantined(kFingerprint); }));
  }
  CHECK_FALSE(b.quarantine().Release(kFingerprint));
}

// Guards against records altered by encoding, and against accepting bytes that
// are not a valid message.
TEST_CASE("Quarantine records survive encoding") {
  const QuarantineExchange exchange{
      .digest = 77,
      .forward = true,
      .records = {{.fingerprint = {.high = 1, .low = 2},
                   .version = 3,
                   .is_quarantined = false,
                   .origin = {.high = 4, .low = 5},
                   .time_left = std::chrono::milliseconds(6)}}};
  const QuarantineExchange read =
      DecodeExchange(EncodeExchange(exchange)).value();
  CHECK(read.digest == 77);
  CHECK(read.forward);
  REQUIRE(read.records.size() == 1);
  CHECK(read.records[0].fingerprint.low == 2);
  CHECK(read.records[0].version == 3);
  CHECK_FALSE(read.records[0].is_quarantined);
  CHECK(read.records[0].origin.high == 4);
  CHECK(read.records[0].time_left == std::chrono::milliseconds(6));
  CHECK_FALSE(DecodeExchange("no message").has_value());
}

}  // namespace
}  // namespace flamingogauge
