#ifndef FLAMINGOGAUGE_LIBS_MEMBERSHIP_TOPOLOGY_H_
#define FLAMINGOGAUGE_LIBS_MEMBERSHIP_TOPOLOGY_H_

#include <map>
#include <vector>

#include "libs/membership/member_table.h"
#include "libs/membership/membership_options.h"

namespace flamingogauge {

// Hosts with which this host exchanges heartbeats, computed from the member
// table. Hosts with equal tables compute consistent topologies.
struct Topology {
  // Next hosts on the ring of the local data centre. This host initiates the
  // heartbeats to them and monitors them for failures.
  std::vector<HostId> successors;
  // Gateways of each data centre: its first hosts in rendezvous order.
  std::map<DataCentreId, std::vector<HostId>> gateways;
  bool is_gateway = false;
  // Gateways of other data centres: `remote_gateways` are those to which this
  // host initiates heartbeats; `remote_initiators` initiate heartbeats to this
  // host, which sends them requests only when it has pending changes.
  std::vector<HostId> remote_gateways;
  std::vector<HostId> remote_initiators;
};

Topology ComputeTopology(const Member& self,
                         const MemberTable::Records& records,
                         const MembershipOptions& options);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_MEMBERSHIP_TOPOLOGY_H_
