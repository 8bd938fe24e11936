#ifndef FLAMINGOGAUGE_LIBS_EXPLAINING_EXPLAIN_QUESTION_H_
#define FLAMINGOGAUGE_LIBS_EXPLAINING_EXPLAIN_QUESTION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libs/kernel/error.h"

namespace flamingogauge {

// A request that an operator asks about, without sending it.
struct ExplainQuestion {
  static constexpr std::size_t kMaxBytes = 65536;

  std::string method;
  // The host name that callers use, without scheme.
  std::string host;
  // Path and query.
  std::string target;
  // A caller's secret, or instead of it the workspace that holds one.
  std::string key;
  std::string workspace;
  // Decides between the services of a route; empty if unknown.
  std::string request_id;
  // How long the caller waits; the route's timeout if it does not say so.
  std::optional<std::chrono::milliseconds> time_limit;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t output_tokens = 0;
  // The caller's estimate; 0 for none.
  std::uint64_t expected_output_tokens = 0;
  // "ID:TOKENS,...": the parts of the prompt in order, ids in hexadecimal.
  std::string prompt_prefix;
  std::string body;
};

// Reads a question from a JSON object with the fields of ExplainQuestion, of
// which method and target are required; time_limit is named time_limit_ms.
// Error: kInvalidArgument with the field and what is allowed. Repeats no value.
Result<ExplainQuestion> ParseExplainQuestion(std::string_view json);

// Formats the question as ParseExplainQuestion() reads it.
std::string FormatExplainQuestion(const ExplainQuestion& question);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_EXPLAINING_EXPLAIN_QUESTION_H_
