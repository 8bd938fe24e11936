#ifndef FLAMINGOGAUGE_PLUGINS_CONFIGURATION_CONFIGURATION_MESSAGES_H_
#define FLAMINGOGAUGE_PLUGINS_CONFIGURATION_CONFIGURATION_MESSAGES_H_

#include <optional>
#include <string>
#include <vector>

namespace flamingogauge {

// The peer channel that the configuration plugins of the hosts use.
inline constexpr char kConfigurationChannel[] = "configuration";

struct PeerRequest {
  // Hashes of the requested chunks. An empty list requests the manifest in
  // force.
  std::vector<std::string> chunk_hashes;
};

struct PeerReply {
  // Empty when the host has no document.
  std::string manifest;
  std::vector<std::string> chunks;
};

// Cap'n Proto codecs. Decoders return nothing for malformed payloads.
std::string EncodePeerRequest(const PeerRequest& request);
std::optional<PeerRequest> DecodePeerRequest(const std::string& payload);
std::string EncodePeerReply(const PeerReply& reply);
std::optional<PeerReply> DecodePeerReply(const std::string& payload);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CONFIGURATION_CONFIGURATION_MESSAGES_H_
