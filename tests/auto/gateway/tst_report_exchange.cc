#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "plugins/gateway/report_exchange.h"
#include "tests/support/free_address.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInterval{20};
constexpr milliseconds kTimeLimit{5000};

// One host of the exchange, run on the test's thread.
class Host {
 public:
  Host(boost::asio::io_context& io,
       const std::string& name,
       const std::string& data_centre)
      : entry_{.name = name,
               .report_address = FreeAddress(SOCK_DGRAM),
               .data_centre = data_centre},
        exchange_(io,
                  {.host = name,
                   .data_centre = data_centre,
                   .report_address = entry_.report_address,
                   .report_interval = kInterval},
                  log_,
                  {.build_report =
                       [name, this] {
                         return HostReport{.host = name,
                                           .draining = is_draining};
                       },
                   .on_report =
                       [this](const HostReport& report) {
                         received_from.insert(report.host);
                       },
                   .on_host_gone = [](const std::string& /*host*/) {}}) {}

  void Start(const std::vector<HostEntry>& listed) {
    exchange_.SetHosts(std::make_shared<std::vector<HostEntry>>(listed));
    REQUIRE(exchange_.Start().has_value());
  }
  const HostEntry& entry() const { return entry_; }
  ReportExchange& exchange() { return exchange_; }

  std::set<std::string> received_from;
  bool is_draining = false;

 private:
  EventLog log_{{.output = ::open("/dev/null", O_WRONLY)}};
  const HostEntry entry_;
  ReportExchange exchange_;
};

// Runs `io` until the condition holds; returns false after the time limit.
template <typename Condition>
bool RunUntil(boost::asio::io_context& io, Condition condition) {
  const auto deadline = std::chrono::steady_clock::now() + kTimeLimit;
  while (!condition() && std::chrono::steady_clock::now() < deadline) {
    io.run_for(kInterval);
  }
  return condition();
}

// Guards against a new host receiving no reports until the others have read the
// list of hosts again: until then the new host would use too small a share of
// each limit.
TEST_CASE("a host that is not listed yet receives reports at once") {
  for (const char* data_centre : {"d1", "d2"}) {
    CAPTURE(data_centre);
    boost::asio::io_context io;
    Host old_host(io, "old", "d1");
    Host new_host(io, "new", data_centre);
    old_host.Start({old_host.entry()});
    new_host.Start({old_host.entry(), new_host.entry()});
    CHECK(old_host.exchange().HostCount() == 1);
    CHECK(RunUntil(io, [&] { return new_host.received_from.contains("old"); }));
    CHECK(old_host.exchange().HostCount() == 2);
    // When the host is listed later, it is still counted once.
    old_host.exchange().SetHosts(std::make_shared<std::vector<HostEntry>>(
        std::vector<HostEntry>{old_host.entry(), new_host.entry()}));
    CHECK(old_host.exchange().HostCount() == 2);
  }
}

// Guards against reserving a share of the limits for a host that shuts down.
TEST_CASE("a draining host is not counted") {
  boost::asio::io_context io;
  Host first(io, "first", "d1");
  Host second(io, "second", "d1");
  first.Start({first.entry(), second.entry()});
  second.Start({first.entry(), second.entry()});
  CHECK(first.exchange().HostCount() == 2);
  second.is_draining = true;
  CHECK(RunUntil(io, [&] { return first.exchange().HostCount() == 1; }));
}

}  // namespace
}  // namespace flamingogauge
