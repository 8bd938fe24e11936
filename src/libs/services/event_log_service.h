#ifndef FLAMINGOGAUGE_LIBS_SERVICES_EVENT_LOG_SERVICE_H_
#define FLAMINGOGAUGE_LIBS_SERVICES_EVENT_LOG_SERVICE_H_

#include <string_view>

#include "libs/kernel/event_log.h"

namespace flamingogauge {

// The name under which the process's EventLog is registered.
inline constexpr std::string_view kEventLogService = "kernel.event_log";

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SERVICES_EVENT_LOG_SERVICE_H_
