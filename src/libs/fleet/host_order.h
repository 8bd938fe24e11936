#ifndef FLAMINGOGAUGE_LIBS_FLEET_HOST_ORDER_H_
#define FLAMINGOGAUGE_LIBS_FLEET_HOST_ORDER_H_

#include <vector>

#include "libs/fleet/host_entry.h"

namespace flamingogauge {

// Returns the hosts in the order in which they do work for the others of their
// data centre, which all hosts compute alike: those of larger capacity first,
// and hosts of equal capacity in an order that does not depend on how they are
// named or numbered.
std::vector<HostEntry> OrderHosts(std::vector<HostEntry> hosts);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_FLEET_HOST_ORDER_H_
