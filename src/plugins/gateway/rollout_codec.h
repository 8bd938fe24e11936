#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_ROLLOUT_CODEC_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_ROLLOUT_CODEC_H_

#include "libs/rollouts/rollout_messages.h"
#include "protocol/rollouts.capnp.h"

namespace flamingogauge {

// Encode and decode the part of coordination messages that is about roll-outs.
void WriteRollouts(const RolloutReport& report,
                   wire::RolloutReport::Builder to);
// Values that this build does not know are read as the weakest ones.
RolloutReport ReadRollouts(wire::RolloutReport::Reader from);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_ROLLOUT_CODEC_H_
