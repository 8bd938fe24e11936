#include "tools/load/workload.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kBytesPerToken = 4;
constexpr double kResendShare = 0.1;
// The prompts of a workspace share a prefix of one part in
// kSharedPrefixDivisor.
constexpr std::uint64_t kWorkspaces = 5;
constexpr std::size_t kSharedPrefixDivisor = 3;

std::vector<RequestClass> ClassesForWorkload(const LoadOptions& options) {
  if (options.workload == "stumpfwerk") {
    return {
        {"dispatch-question", LoadKind::kChat, 50, 0, 40, 20,
         milliseconds(1000), milliseconds(5000)},
        {"planning", LoadKind::kChat, 25, 1, 400, 100, milliseconds(3000),
         milliseconds(20000)},
        {"soil-report", LoadKind::kChat, 10, 2, 4000, 400, milliseconds(15000),
         milliseconds(60000)},
        {"booking", LoadKind::kBooking, 10, 0, 0, 0, milliseconds(2000),
         milliseconds(5000)},
        {"status", LoadKind::kStatusRead, 5, 0, 0, 0, milliseconds(2000),
         milliseconds(5000)},
    };
  }
  if (options.workload == "jernpleje") {
    return {
        {"customer-answer", LoadKind::kChat, 40, 0, 60, 40, milliseconds(1000),
         milliseconds(8000)},
        {"report-draft", LoadKind::kChat, 15, 1, 5000, 600, milliseconds(10000),
         milliseconds(60000)},
        {"photo-sorting", LoadKind::kChat, 30, 2, 250, 10, milliseconds(20000),
         milliseconds(60000)},
        {"booking", LoadKind::kBooking, 5, 0, 0, 0, milliseconds(2000),
         milliseconds(5000)},
        {"status", LoadKind::kStatusRead, 10, 0, 0, 0, milliseconds(2000),
         milliseconds(5000)},
    };
  }
  return {{"uniform", LoadKind::kChat, 1, 0, options.prompt_tokens,
           options.output_tokens, milliseconds(1000), milliseconds(60000)}};
}

}  // namespace

Workload::Workload(const LoadOptions& options)
    : options_(options),
      random_(options.seed),
      run_id_(std::to_string(options.seed) + "-" + std::to_string(getpid())),
      classes_(ClassesForWorkload(options)) {
  for (const RequestClass& it : classes_) {
    total_share_ += it.share;
  }
}

PlannedRequest Workload::Next() {
  PlannedRequest request;
  request.number = next_number_++;
  next_at_s_ += -std::log(1.0 - random_.NextDouble()) / options_.rate;
  request.at =
      std::chrono::nanoseconds(static_cast<std::int64_t>(next_at_s_ * 1e9));
  request.class_index = PickClass();
  const RequestClass& chosen = classes_[request.class_index];
  if (chosen.kind == LoadKind::kChat) {
    const bool fixed = options_.workload == "uniform";
    request.prompt = MakePrompt(fixed ? chosen.prompt_tokens
                                      : SampleLength(chosen.prompt_tokens));
    request.output_tokens =
        fixed ? chosen.output_tokens : SampleLength(chosen.output_tokens);
  } else if (chosen.kind == LoadKind::kBooking) {
    request.key = run_id_ + "-" + std::to_string(request.number);
    if (random_.NextBool(kResendShare)) {
      constexpr std::uint64_t kMaxResendDelayMs = 200;
      request.resend_after =
          milliseconds(1 + random_.NextBelow(kMaxResendDelayMs));
    }
  }
  return request;
}

std::size_t Workload::PickClass() {
  double remaining = random_.NextDouble() * total_share_;
  for (std::size_t i = 0; i + 1 < classes_.size(); ++i) {
    remaining -= classes_[i].share;
    if (remaining < 0) {
      return i;
    }
  }
  return classes_.size() - 1;
}

std::size_t Workload::SampleLength(std::size_t mean) {
  return std::max<std::size_t>(1, mean / 2 + random_.NextBelow(mean + 1));
}

// Returns a prompt that consists of a prefix shared within the workspace, the
// run id and request number that make it unique, and padding up to the length.
std::string Workload::MakePrompt(std::size_t tokens) {
  const std::size_t bytes = tokens * kBytesPerToken;
  const std::string workspace =
      "workspace " + std::to_string(random_.NextBelow(kWorkspaces)) + " ";
  std::string prompt;
  while (prompt.size() < bytes / kSharedPrefixDivisor) {
    prompt += workspace;
  }
  prompt += run_id_ + "-" + std::to_string(next_number_) + " ";
  // The padding uses a separate generator: its length depends on that of the
  // run id, which contains the process id, and must not change the times and
  // classes of later requests.
  Random padding_random(options_.seed + next_number_);
  while (prompt.size() < bytes) {
    prompt += static_cast<char>('a' + padding_random.NextBelow(26));
  }
  return prompt;
}

}  // namespace flamingogauge
