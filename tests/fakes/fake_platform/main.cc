#include <gflags/gflags.h>
#include <signal.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>

#include "plugins/platform/platform_protocol.h"
#include "tests/fakes/fake_platform/fake_platform.h"
#include "tests/fakes/fake_platform/load_objects.h"

DEFINE_string(load, "", "directory or JSON file with the initial objects");
DEFINE_string(hosts, "", "JSON file with the initial response to GET /hosts");
DEFINE_uint64(seed, 1, "seed of the random choice of lost responses");

namespace {

constexpr int kUsageError = 2;

int Fail(const std::string& message) {
  std::fprintf(stderr, "fake_platform: %s\n", message.c_str());
  return kUsageError;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  // Blocked before the server's threads start, so that only sigwait() receives
  // the signals.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  flamingogauge::FakePlatform platform(FLAGS_seed);
  if (!FLAGS_load.empty()) {
    const auto objects = flamingogauge::LoadObjects(FLAGS_load);
    if (!objects) {
      return Fail("--load: " + objects.error().message);
    }
    platform.Load(objects.value());
  }
  if (!FLAGS_hosts.empty()) {
    std::ifstream file(FLAGS_hosts);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    const auto hosts = flamingogauge::DecodeHosts(text);
    if (!hosts) {
      return Fail("--hosts: " + FLAGS_hosts + " is not a valid JSON host list");
    }
    platform.SetHosts(*hosts);
  }
  std::printf("%s\n", platform.address().c_str());
  std::fflush(stdout);
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}
