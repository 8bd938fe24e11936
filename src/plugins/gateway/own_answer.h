#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_OWN_ANSWER_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_OWN_ANSWER_H_

#include <chrono>
#include <optional>
#include <string>

namespace flamingogauge {

// An answer without a body that this host gives itself.
struct OwnAnswer {
  int status = 0;
  std::string request_id_header;
  std::string request_id;
  std::optional<std::chrono::milliseconds> retry_after;
  bool keep = true;
};

std::string ComposeOwnAnswer(const OwnAnswer& answer);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_OWN_ANSWER_H_
