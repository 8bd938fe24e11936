#include <gflags/gflags.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <exception>

#include "tests/fakes/fake_service/fake_service.h"

DEFINE_int32(port, 0, "port on 127.0.0.1; 0 lets the kernel choose");
DEFINE_int32(threads, 4, "threads that serve connections");
DEFINE_int32(delay_ms, 0, "time from execution to response, in milliseconds");

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "a booking service for tests; the first line of output is its ip:port");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::signal(SIGPIPE, SIG_IGN);
  // Blocked before threads start, so that only sigwait() receives the signals.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  try {
    flamingogauge::FakeService service(static_cast<std::uint16_t>(FLAGS_port),
                                       FLAGS_threads);
    service.SetFaults({.delay = std::chrono::milliseconds(FLAGS_delay_ms)});
    std::printf("%s\n", service.address().c_str());
    std::fflush(stdout);
    int signal_number = 0;
    sigwait(&signals, &signal_number);
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "fake service: cannot listen: %s\n", e.what());
    return 1;
  }
}
