#ifndef FLAMINGOGAUGE_PLUGINS_SCHEDULER_SCHEDULER_CODEC_H_
#define FLAMINGOGAUGE_PLUGINS_SCHEDULER_SCHEDULER_CODEC_H_

#include <string>

#include "libs/kernel/error.h"
#include "plugins/scheduler/scheduler_messages.h"

namespace flamingogauge {

// Converts batches to and from Cap'n Proto.
std::string EncodeBatch(const SchedulerBatch& batch);

// Fails with kInvalidArgument when the payload is no batch.
Result<SchedulerBatch> DecodeBatch(const std::string& payload);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_SCHEDULER_SCHEDULER_CODEC_H_
