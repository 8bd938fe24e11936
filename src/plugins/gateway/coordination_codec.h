#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_COORDINATION_CODEC_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_COORDINATION_CODEC_H_

#include <string>
#include <variant>

#include "libs/coordination/coordination_messages.h"
#include "libs/kernel/error.h"

namespace flamingogauge {

// A summary on its way to the coordinators of other data centres.
struct DataCentreReport {
  FleetSummary summary;
};

// What a datagram between hosts carries.
using CoordinationMessage = std::
    variant<HostMessage, CoordinatorMessage, FleetSummary, DataCentreReport>;

// Encodes and decodes the datagram format, a packed Cap'n Proto message.
// DecodeCoordinationMessage returns kInvalidArgument for bytes that cannot be
// read.
std::string EncodeCoordinationMessage(const CoordinationMessage& message);
Result<CoordinationMessage> DecodeCoordinationMessage(const std::string& bytes);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_COORDINATION_CODEC_H_
