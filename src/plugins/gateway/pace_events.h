#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_PACE_EVENTS_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_PACE_EVENTS_H_

#include <map>
#include <string>

#include "libs/dispatching/upstream_view.h"
#include "libs/kernel/event_log.h"
#include "libs/kernel/time.h"

namespace flamingogauge {

// The line of the structured log for a change of an upstream's pace.
EventLine PaceChangeEvent(const PaceChange& change);

// Formats the upstreams whose pace has changed since they were listed as a JSON
// object of the state dump, by id.
std::string FormatPaces(const std::map<std::string, UpstreamView>& upstreams,
                        MonotonicTime now);

// Bounds the lines about paces: of the steps of a growing pace only the last
// is written, and no more than a few lines in a second.
class PaceLogFilter {
 public:
  bool Admits(const PaceChange& change, MonotonicTime now);

 private:
  MonotonicTime second_began_;
  int lines_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_PACE_EVENTS_H_
