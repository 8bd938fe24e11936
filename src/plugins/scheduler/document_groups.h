#ifndef FLAMINGOGAUGE_PLUGINS_SCHEDULER_DOCUMENT_GROUPS_H_
#define FLAMINGOGAUGE_PLUGINS_SCHEDULER_DOCUMENT_GROUPS_H_

#include <chrono>
#include <map>
#include <string>

#include "libs/document/document.h"
#include "libs/kernel/time.h"
#include "libs/scheduling/group_types.h"

namespace flamingogauge {

// Derives the groups of one data centre, by target, from a document. An empty
// data centre takes all upstreams. `since_epoch` is the wall clock at `now`, by
// which retirement dates are converted.
std::map<std::string, GroupConfig> GroupsOfDocument(
    const Document& document,
    const DataCentreId& data_centre,
    MonotonicTime now,
    std::chrono::seconds since_epoch);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_SCHEDULER_DOCUMENT_GROUPS_H_
