// One host with the peers and crashes plugins only, for measuring what the
// control between hosts costs a real process. Prints one line every second
// until the time is over: JSON with the plugins' state and the process's use.
#include <gflags/gflags.h>
#include <sys/resource.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <thread>

#include "libs/kernel/log.h"
#include "libs/kernel/plugin_manager.h"
#include "plugins/crashes/crashes_plugin.h"
#include "plugins/peers/peers_plugin.h"

DEFINE_uint64(run_seconds, 30, "how long the host runs");

namespace {

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) *
             1e-6;
}

// Private resident memory: without pages shared with other processes.
std::int64_t PrivateBytes() {
  std::ifstream file("/proc/self/statm");
  std::int64_t size = 0;
  std::int64_t resident = 0;
  std::int64_t shared = 0;
  file >> size >> resident >> shared;
  return (resident - shared) * sysconf(_SC_PAGESIZE);
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  flamingogauge::InitializeLogging(flamingogauge::LogLevel::kWarning);
  flamingogauge::PluginManager manager;
  manager.Add(std::make_unique<flamingogauge::PeersPlugin>(
      flamingogauge::PeersSettingsFromFlags()));
  manager.Add(std::make_unique<flamingogauge::CrashesPlugin>(
      flamingogauge::CrashesSettingsFromFlags()));
  const auto started = manager.Start();
  if (!started) {
    std::fprintf(stderr, "%s\n", ToString(started.error()).c_str());
    return 2;
  }
  for (std::uint64_t n = 1; n <= FLAGS_run_seconds; ++n) {
    std::this_thread::sleep_for(std::chrono::seconds(1));
    std::printf(
        "{\"second\":%llu,\"cpu_s\":%.6f,\"private_bytes\":%lld,"
        "\"state\":%s}\n",
        static_cast<unsigned long long>(n), CpuSeconds(),
        static_cast<long long>(PrivateBytes()), manager.DumpAll().c_str());
    std::fflush(stdout);
  }
  return 0;
}
