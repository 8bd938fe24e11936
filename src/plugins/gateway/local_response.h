#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_LOCAL_RESPONSE_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_LOCAL_RESPONSE_H_

#include <chrono>
#include <optional>
#include <string>

namespace flamingogauge {

// A response without a body that this host generates itself.
struct LocalResponse {
  int status = 0;
  std::string request_id_header;
  std::string request_id;
  std::optional<std::chrono::milliseconds> retry_after;
  bool keep_open = true;
};

std::string FormatLocalResponse(const LocalResponse& response);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_LOCAL_RESPONSE_H_
