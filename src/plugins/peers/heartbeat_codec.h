#ifndef FLAMINGOGAUGE_PLUGINS_PEERS_HEARTBEAT_CODEC_H_
#define FLAMINGOGAUGE_PLUGINS_PEERS_HEARTBEAT_CODEC_H_

#include <string>

#include "libs/kernel/error.h"
#include "libs/membership/heartbeat.h"

namespace flamingogauge {

// Encodes as a packed Cap'n Proto message.
std::string EncodeHeartbeat(const Heartbeat& heartbeat);

// Returns kInvalidArgument with the reason when the bytes cannot be decoded.
Result<Heartbeat> DecodeHeartbeat(const std::string& bytes);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_PEERS_HEARTBEAT_CODEC_H_
