#ifndef FLAMINGOGAUGE_PLUGINS_SCHEDULER_DOCUMENT_GROUPS_H_
#define FLAMINGOGAUGE_PLUGINS_SCHEDULER_DOCUMENT_GROUPS_H_

#include <chrono>
#include <map>
#include <string>

#include "libs/document/document.h"
#include "libs/kernel/time.h"
#include "libs/scheduling/group_types.h"

namespace flamingogauge {

// Returns the group configurations of one data centre, keyed by target. An
// empty `data_centre` selects all upstreams. `since_epoch` is the wall-clock
// time at `now` and is used to convert retirement dates to monotonic time.
std::map<std::string, GroupConfig> GroupsOfDocument(
    const Document& document,
    const DataCentreId& data_centre,
    MonotonicTime now,
    std::chrono::seconds since_epoch);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_SCHEDULER_DOCUMENT_GROUPS_H_
