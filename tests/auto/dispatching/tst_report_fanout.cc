#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libs/dispatching/report_fanout.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

struct FleetSize {
  int data_centres;
  int hosts_in_each;
};

std::string Name(int data_centre, int host) {
  return "d" + std::to_string(data_centre) + "-" + std::to_string(host);
}

std::vector<HostEntry> Fleet(const FleetSize& size) {
  std::vector<HostEntry> hosts;
  for (int d = 0; d < size.data_centres; ++d) {
    for (int n = 0; n < size.hosts_in_each; ++n) {
      hosts.push_back({.name = Name(d, n),
                       .report_address = Name(d, n) + ":1",
                       .data_centre = "d" + std::to_string(d)});
    }
  }
  return hosts;
}

ReportFanout Fanout(const std::string& host, const FleetSize& size) {
  ReportFanout fanout(
      {.host = host, .data_centre = host.substr(0, host.find('-'))});
  fanout.SetHosts(Fleet(size));
  return fanout;
}

// Guards against a host that receives another host's reports neither directly
// nor forwarded.
TEST_CASE("reports of a host reach all other hosts") {
  for (const FleetSize& size :
       {FleetSize{1, 1}, FleetSize{3, 3}, FleetSize{2, 5}, FleetSize{6, 14}}) {
    CAPTURE(size.hosts_in_each);
    ReportFanout sender = Fanout("d0-0", size);
    std::set<std::string> reached;
    for (const std::string& it : sender.LocalAddresses()) {
      reached.insert(it);
    }
    for (const std::string& it : sender.NextRemoteAddresses()) {
      reached.insert(it);
      const std::string receiver = it.substr(0, it.find(':'));
      const ReportFanout fanout = Fanout(receiver, size);
      if (fanout.MustForward("d0-0")) {
        reached.insert(fanout.LocalAddresses().begin(),
                       fanout.LocalAddresses().end());
      }
    }
    CHECK(static_cast<int>(reached.size()) ==
          size.data_centres * size.hosts_in_each - 1);
  }
}

// Guards against quadratic growth of the traffic between data centres or of the
// reports that a host receives. Intervals are rounded down to milliseconds, so
// rates may exceed the limits of 150 and 200 per second slightly.
TEST_CASE("the send and receive rates of a host are bounded") {
  for (const FleetSize& size : {FleetSize{3, 3}, FleetSize{6, 15},
                                FleetSize{13, 29}, FleetSize{13, 80}}) {
    CAPTURE(size.hosts_in_each);
    ReportFanout sender = Fanout("d0-0", size);
    const double rounds_per_second =
        1000.0 / static_cast<double>(sender.RemoteInterval().count());
    const double remote_hosts = (size.data_centres - 1) * size.hosts_in_each;
    CHECK(remote_hosts * rounds_per_second <= 151);
    CHECK(static_cast<double>(sender.NextRemoteAddresses().size()) *
              rounds_per_second <=
          60);
    const double load_reports_per_second =
        1000.0 / static_cast<double>(sender.LoadReportDelay().count());
    CHECK(static_cast<double>(sender.LocalAddresses().size()) *
              load_reports_per_second <=
          201);
    CHECK(sender.ReportLifetime() >= sender.RemoteInterval() * 3);
  }
  CHECK(Fanout("d0-0", {3, 3}).RemoteInterval() == milliseconds(200));
  CHECK(Fanout("d0-0", {3, 4}).LoadReportDelay() == milliseconds(15));
}

// Guards against a single host forwarding the reports of all others, and
// against losing all reports when one receiver fails.
TEST_CASE("receivers are selected round-robin") {
  const FleetSize size{2, 10};
  std::map<std::string, int> received;
  for (int n = 0; n < size.hosts_in_each; ++n) {
    ReportFanout sender = Fanout(Name(0, n), size);
    for (int round = 0; round < 10; ++round) {
      for (const std::string& it : sender.NextRemoteAddresses()) {
        ++received[it];
      }
    }
  }
  CHECK(received.size() == 10);
  for (const auto& [address, count] : received) {
    CHECK(count == 10);
  }
}

// Guards against a delayed, forwarded report replacing a newer one.
TEST_CASE("only newer reports of a process are accepted") {
  ReportFanout fanout = Fanout("d0-0", {2, 4});
  CHECK(fanout.IsNewer("d1-0", 5, 2));
  CHECK_FALSE(fanout.IsNewer("d1-0", 5, 2));
  CHECK_FALSE(fanout.IsNewer("d1-0", 5, 1));
  CHECK(fanout.IsNewer("d1-0", 5, 3));
  CHECK(fanout.IsNewer("d1-0", 6, 1));
}

}  // namespace
}  // namespace flamingogauge
