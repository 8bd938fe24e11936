#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_FLEET_EVENTS_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_FLEET_EVENTS_H_

#include <memory>
#include <vector>

#include "libs/dispatching/dispatcher.h"
#include "libs/fleet/upstream_entry.h"
#include "libs/kernel/event_log.h"

namespace flamingogauge {

// Lines of the structured log about what a host believes of the upstreams.

// One line for each upstream that was listed, began to leave, restarted or is
// gone. `before` is null at the start.
std::vector<EventLine> UpstreamLines(
    const std::shared_ptr<const std::vector<UpstreamEntry>>& before,
    const std::shared_ptr<const std::vector<UpstreamEntry>>& after);

// The line for a change of trust after a request ended; not for kNone.
EventLine TrustLine(HealthChange change,
                    const UpstreamEntry& upstream,
                    const Dispatcher& dispatcher,
                    MonotonicTime now);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_FLEET_EVENTS_H_
