#include <gflags/gflags.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <exception>

#include "tests/fakes/fake_engine/fake_engine.h"

DEFINE_int32(port, 0, "port on 127.0.0.1; 0 lets the kernel choose");
DEFINE_int32(threads, 2, "threads that serve connections");
DEFINE_double(prefill_tokens_per_second,
              0,
              "0 means that prefill takes no time");
DEFINE_double(decode_tokens_per_second, 0, "0 means that decode takes no time");
DEFINE_uint64(max_concurrency,
              64,
              "maximum concurrent requests; further ones are rejected");
DEFINE_uint64(default_tokens,
              16,
              "response length in tokens for requests without max_tokens");
DEFINE_uint64(token_capacity, 262144, "token capacity in load reports");
DEFINE_uint64(cache_blocks, 4096, "capacity of the prefix cache in blocks");
DEFINE_int32(load_lag_ms,
             0,
             "value of age_ms in load reports, in milliseconds");

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "a model engine for tests; the first line of output is its ip:port");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::signal(SIGPIPE, SIG_IGN);
  // Blocked before threads start, so that only sigwait() receives the signals.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  try {
    flamingogauge::FakeEngine engine(
        {.prefill_tokens_per_second = FLAGS_prefill_tokens_per_second,
         .decode_tokens_per_second = FLAGS_decode_tokens_per_second,
         .max_concurrency = FLAGS_max_concurrency,
         .default_tokens = FLAGS_default_tokens,
         .token_capacity = FLAGS_token_capacity,
         .cache_blocks = FLAGS_cache_blocks,
         .load_lag = std::chrono::milliseconds(FLAGS_load_lag_ms)},
        static_cast<std::uint16_t>(FLAGS_port), FLAGS_threads);
    std::printf("%s\n", engine.address().c_str());
    std::fflush(stdout);
    int signal_number = 0;
    sigwait(&signals, &signal_number);
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "fake engine: cannot listen: %s\n", e.what());
    return 1;
  }
}
