#ifndef FLAMINGOGAUGE_LIBS_RELAY_HEADER_NAMES_H_
#define FLAMINGOGAUGE_LIBS_RELAY_HEADER_NAMES_H_

#include <string>
#include <vector>

namespace flamingogauge {

// The names of the headers that the relay reads, sets or removes; the adapter
// of a deployment supplies them.
struct RelayHeaderNames {
  // Identifies one attempt of a caller; upstreams repeat it in their answer.
  std::string request_id;
  // Milliseconds that the sender still waits.
  std::string time_limit_ms;
  // The caller's secret; never passed on.
  std::string key;
  // The workspace that holds the key; set for upstreams.
  std::string workspace;
  // The id of the upstream that a request is meant for; another one refuses.
  std::string expected_upstream;
  // Present in an answer that states that the request did not run.
  std::string not_executed;
  // Present in each answer that an upstream made.
  std::string seal;
  // Present in each answer of an upstream that shuts down.
  std::string leaving;
  // Present in each answer of an upstream that takes a limited number of
  // requests per second from all hosts together: that number, a decimal one.
  std::string rate_limit;
  // "PROMPT,OUTPUT": prompt tokens and the most output tokens.
  std::string token_count;
  // The caller's estimate of the output tokens.
  std::string length_hint;
  // "ID:TOKENS,...": the parts of the prompt in order, ids in hexadecimal.
  std::string prompt_prefix;
  // Headers that only hosts may set; removed from what callers send.
  std::vector<std::string> reserved_for_hosts;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_RELAY_HEADER_NAMES_H_
