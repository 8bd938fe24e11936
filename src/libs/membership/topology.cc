#include "libs/membership/topology.h"

#include <algorithm>
#include <utility>

#include "libs/model/rendezvous.h"

namespace flamingogauge {
namespace {

constexpr char kRingKey[] = "membership.ring";
constexpr char kGatewayKey[] = "membership.gateway";

std::vector<HostId> Successors(const HostId& self,
                               std::vector<HostId> hosts,
                               std::size_t limit) {
  const std::vector<HostId> ring = RendezvousOrder(kRingKey, std::move(hosts));
  const auto self_it = std::find(ring.begin(), ring.end(), self);
  const auto position = static_cast<std::size_t>(self_it - ring.begin());
  std::vector<HostId> successors;
  for (std::size_t n = 1; n < ring.size() && n <= limit; ++n) {
    successors.push_back(ring[(position + n) % ring.size()]);
  }
  return successors;
}

// Gateway n of one data centre is paired with gateway n of the other, or with
// the last one if the other has fewer gateways.
bool ArePaired(std::size_t a,
               std::size_t a_count,
               std::size_t b,
               std::size_t b_count) {
  return b == std::min(a, b_count - 1) || a == std::min(b, a_count - 1);
}

// Of two data centres, the one with the lower name initiates the heartbeats.
void AddRemoteGateways(const Member& self, Topology* topology) {
  const std::vector<HostId>& own = topology->gateways.at(self.data_centre);
  const auto self_it = std::find(own.begin(), own.end(), self.host);
  if (self_it == own.end()) {
    return;
  }
  topology->is_gateway = true;
  const auto position = static_cast<std::size_t>(self_it - own.begin());
  for (const auto& [data_centre, gateways] : topology->gateways) {
    if (data_centre == self.data_centre) {
      continue;
    }
    std::vector<HostId>& list = data_centre > self.data_centre
                                    ? topology->remote_gateways
                                    : topology->remote_initiators;
    for (std::size_t n = 0; n < gateways.size(); ++n) {
      if (ArePaired(position, own.size(), n, gateways.size())) {
        list.push_back(gateways[n]);
      }
    }
  }
}

}  // namespace

Topology ComputeTopology(const Member& self,
                         const MemberTable::Records& records,
                         const MembershipOptions& options) {
  std::map<DataCentreId, std::vector<HostId>> alive_hosts;
  std::map<DataCentreId, std::vector<HostId>> live_hosts;
  for (const auto& [host, record] : records) {
    const Member& member = record.entry.member;
    if (member.state == MemberState::kDead) {
      continue;
    }
    live_hosts[member.data_centre].push_back(host);
    if (member.state == MemberState::kAlive) {
      alive_hosts[member.data_centre].push_back(host);
    }
  }
  Topology topology;
  topology.successors = Successors(self.host, live_hosts[self.data_centre],
                                   options.ring_successors);
  for (auto& [data_centre, hosts] : live_hosts) {
    // Falls back to leaving and suspected hosts if no host is alive.
    std::vector<HostId>& alive = alive_hosts[data_centre];
    std::vector<HostId> order =
        RendezvousOrder(kGatewayKey, alive.empty() ? hosts : alive);
    order.resize(std::min(order.size(), options.gateways));
    topology.gateways.emplace(data_centre, std::move(order));
  }
  AddRemoteGateways(self, &topology);
  return topology;
}

}  // namespace flamingogauge
