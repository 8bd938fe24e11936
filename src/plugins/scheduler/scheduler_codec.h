#ifndef FLAMINGOGAUGE_PLUGINS_SCHEDULER_SCHEDULER_CODEC_H_
#define FLAMINGOGAUGE_PLUGINS_SCHEDULER_SCHEDULER_CODEC_H_

#include <string>

#include "libs/kernel/error.h"
#include "plugins/scheduler/scheduler_messages.h"

namespace flamingogauge {

// Serializes a batch with Cap'n Proto.
std::string EncodeBatch(const SchedulerBatch& batch);

// Returns kInvalidArgument if the payload is not a valid batch.
Result<SchedulerBatch> DecodeBatch(const std::string& payload);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_SCHEDULER_SCHEDULER_CODEC_H_
