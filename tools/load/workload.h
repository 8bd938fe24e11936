#ifndef FLAMINGOGAUGE_TOOLS_LOAD_WORKLOAD_H_
#define FLAMINGOGAUGE_TOOLS_LOAD_WORKLOAD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "libs/kernel/random.h"
#include "libs/model/permit.h"
#include "tools/load/load_options.h"

namespace flamingogauge {

enum class LoadKind { kChat, kBooking, kStatusRead };

// One class of requests in the request mix of a deployment.
struct RequestClass {
  std::string name;
  LoadKind kind = LoadKind::kChat;
  // Weight of the class relative to the other classes.
  double share = 1;
  Tier tier = 0;
  // Mean lengths. Except in the workload "uniform", lengths vary between 0.5
  // and 1.5 times the mean.
  std::size_t prompt_tokens = 0;
  std::size_t output_tokens = 0;
  // A response counts towards goodput only if it meets both limits.
  std::chrono::milliseconds first_token_target{1000};
  std::chrono::milliseconds deadline{60000};
};

// One planned request.
struct PlannedRequest {
  std::uint64_t number = 0;
  // Relative to the start of the run.
  std::chrono::nanoseconds at{0};
  std::size_t class_index = 0;
  std::string prompt;
  std::size_t output_tokens = 0;
  // Idempotency key of a booking; a resend has the key of the original.
  std::string key;
  // Delay after which the same booking is sent again to another host; 0 means
  // never.
  std::chrono::milliseconds resend_after{0};
};

// Generates the requests of a deployment from a seed, with exponentially
// distributed inter-arrival times.
class Workload {
 public:
  explicit Workload(const LoadOptions& options);

  PlannedRequest Next();
  const std::vector<RequestClass>& classes() const { return classes_; }

 private:
  std::size_t PickClass();
  std::size_t SampleLength(std::size_t mean);
  std::string MakePrompt(std::size_t tokens);

  const LoadOptions options_;
  Random random_;
  // Makes the prompts and keys of this run distinct from those of earlier runs.
  const std::string run_id_;
  std::vector<RequestClass> classes_;
  double total_share_ = 0;
  std::uint64_t next_number_ = 0;
  double next_at_s_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TOOLS_LOAD_WORKLOAD_H_
