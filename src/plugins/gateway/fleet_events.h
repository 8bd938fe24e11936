#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_FLEET_EVENTS_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_FLEET_EVENTS_H_

#include <memory>
#include <optional>
#include <vector>

#include "libs/dispatching/dispatcher.h"
#include "libs/fleet/upstream_entry.h"
#include "libs/kernel/event_log.h"

namespace flamingogauge {

// Structured log events about this host's view of the upstreams.

// Returns one event for each upstream that was added to the list, started to
// drain, restarted or was removed. `before` is null for the first list.
std::vector<EventLine> UpstreamListEvents(
    const std::shared_ptr<const std::vector<UpstreamEntry>>& before,
    const std::shared_ptr<const std::vector<UpstreamEntry>>& after);

// Returns the event for a change of an upstream's health at the end of a
// request. `change` must not be kNone.
EventLine HealthChangeEvent(HealthChange change,
                            const UpstreamEntry& upstream,
                            const Dispatcher& dispatcher,
                            MonotonicTime now);

// Returns the event for a response that changed what this host knows of the
// rate of requests that an upstream takes: `requests_per_second`, or none if it
// no longer states a limit.
EventLine RateLimitEvent(std::optional<double> requests_per_second,
                         const UpstreamEntry& upstream);

// Returns the event for the refusals of a service by the host that decides.
EventLine RefusalEvent(const RefusalSummary& refusals);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_FLEET_EVENTS_H_
