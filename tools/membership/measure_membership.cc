// Measures what the membership costs each host: instances of the library in one
// process and virtual time, at several sizes. Bytes are those of the encoded
// heartbeats plus a fixed cost for each message, taken from real processes.
#include <gflags/gflags.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <sstream>
#include <string>
#include <vector>

#include "plugins/peers/heartbeat_codec.h"
#include "tests/auto/membership/membership_network.h"

DEFINE_uint64(seed, 1, "seed of the run");
DEFINE_string(sizes, "37,74,148,259,370", "numbers of hosts");
DEFINE_uint64(data_centres, 13, "number of data centres");
DEFINE_uint64(regions, 5, "number of regions");
DEFINE_uint64(seconds, 60, "virtual seconds that are measured");
DEFINE_double(restarts_per_minute,
              0,
              "hosts that stop and start again, for each minute of the run");
DEFINE_uint64(rpc_bytes,
              200,
              "bytes that the call and TCP add to a heartbeat and its reply "
              "together, divided by two");

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

double CpuSeconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * 1e-9;
}

double HeapBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

struct Cost {
  double messages = 0;  // a second
  double sent = 0;      // bytes a second
  double received = 0;  // bytes a second
};

Cost operator+(const Cost& a, const Cost& b) {
  return {a.messages + b.messages, a.sent + b.sent, a.received + b.received};
}

void AddHosts(MembershipNetwork* network, std::size_t count) {
  for (std::size_t n = 0; n < count; ++n) {
    const std::size_t data_centre = n % FLAGS_data_centres;
    network->AddHost("dc" + std::to_string(data_centre),
                     "region" + std::to_string(data_centre % FLAGS_regions));
  }
  for (std::size_t n = 0; n < count; ++n) {
    network->Start(n);
  }
}

void Restart(MembershipNetwork* network) {
  const std::size_t n = network->random().NextBelow(network->size());
  network->Stop(n);
  network->Start(n);
}

void Measure(std::size_t count) {
  const double heap_before = HeapBytes();
  MembershipNetwork network(FLAGS_seed);
  AddHosts(&network, count);
  milliseconds start{0};
  while (!network.IsConverged() && start < milliseconds(60000)) {
    network.RunFor(milliseconds(100));
    start += milliseconds(100);
  }
  network.RunFor(milliseconds(5000));
  const double heap = HeapBytes() - heap_before;
  network.set_size_function([](const Heartbeat& it) {
    return EncodeHeartbeat(it).size() + FLAGS_rpc_bytes;
  });
  std::vector<Cost> base;
  const auto totals = [&network](std::size_t n) {
    const MembershipNetwork::Host& host = network.host(n);
    return Cost{static_cast<double>(host.messages_sent),
                static_cast<double>(host.bytes_sent),
                static_cast<double>(host.bytes_received)};
  };
  for (std::size_t n = 0; n < count; ++n) {
    base.push_back(totals(n));
  }
  const double cpu = CpuSeconds();
  const auto interval = FLAGS_restarts_per_minute > 0
                            ? milliseconds(static_cast<std::int64_t>(
                                  60000 / FLAGS_restarts_per_minute))
                            : milliseconds(FLAGS_seconds * 1000);
  for (milliseconds run{0}; run < milliseconds(FLAGS_seconds * 1000);
       run += interval) {
    network.RunFor(interval);
    if (FLAGS_restarts_per_minute > 0) {
      Restart(&network);
    }
  }
  const double used = CpuSeconds() - cpu;
  const auto seconds = static_cast<double>(FLAGS_seconds);
  Cost sum;
  Cost largest;
  double gateway = 0;
  double other = 0;
  for (std::size_t n = 0; n < count; ++n) {
    const Cost now = totals(n);
    const Cost cost{(now.messages - base[n].messages) / seconds,
                    (now.sent - base[n].sent) / seconds,
                    (now.received - base[n].received) / seconds};
    sum = sum + cost;
    largest = {std::max(largest.messages, cost.messages),
               std::max(largest.sent, cost.sent),
               std::max(largest.received, cost.received)};
    const bool is_gateway = network.host(n).membership->topology().is_gateway;
    double& most = is_gateway ? gateway : other;
    most = std::max(most, cost.sent);
  }
  const auto hosts = static_cast<double>(count);
  std::printf("%5zu %8.1f %8.1f %9.0f %9.0f %9.0f %9.0f %8.3f%% %9.1f %8lld\n",
              count, sum.messages / hosts, largest.messages, sum.sent / hosts,
              largest.sent, other, largest.received,
              100.0 * used / seconds / hosts, heap / hosts / 1024.0,
              static_cast<long long>(start.count()));
}

}  // namespace
}  // namespace flamingogauge

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::printf(
      "seed %llu, %llu data centres, %llu s, %.1f restarts/min, %llu bytes "
      "added to each message\n",
      static_cast<unsigned long long>(FLAGS_seed),
      static_cast<unsigned long long>(FLAGS_data_centres),
      static_cast<unsigned long long>(FLAGS_seconds), FLAGS_restarts_per_minute,
      static_cast<unsigned long long>(FLAGS_rpc_bytes));
  std::printf(
      "hosts  mean      max       mean      max  max not      max     mean"
      "      mean    start\n"
      "      msgs/s   msgs/s  sent B/s  sent B/s   gateway  recv B/s     core"
      "  heap KiB       ms\n");
  std::istringstream sizes(FLAGS_sizes);
  for (std::string size; std::getline(sizes, size, ',');) {
    flamingogauge::Measure(std::stoul(size));
  }
  return 0;
}
