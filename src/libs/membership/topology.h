#ifndef FLAMINGOGAUGE_LIBS_MEMBERSHIP_TOPOLOGY_H_
#define FLAMINGOGAUGE_LIBS_MEMBERSHIP_TOPOLOGY_H_

#include <map>
#include <vector>

#include "libs/membership/member_table.h"
#include "libs/membership/membership_options.h"

namespace flamingogauge {

// With whom a host exchanges heartbeats, computed from a table. All hosts with
// the same table compute matching neighbours.
struct Topology {
  // The next hosts of the own data centre's ring; this host starts these
  // exchanges and judges these hosts.
  std::vector<HostId> successors;
  // The gateways of each data centre, the first in rendezvous order.
  std::map<DataCentreId, std::vector<HostId>> gateways;
  bool is_gateway = false;
  // Gateways of other data centres with which this host starts exchanges, and
  // those that start them; the latter are only sent news.
  std::vector<HostId> remote_gateways;
  std::vector<HostId> remote_starters;
};

Topology ComputeTopology(const Member& self,
                         const MemberTable::Records& records,
                         const MembershipOptions& options);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_MEMBERSHIP_TOPOLOGY_H_
