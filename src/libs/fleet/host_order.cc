#include "libs/fleet/host_order.h"

#include <algorithm>
#include <tuple>

#include "libs/model/fingerprint.h"

namespace flamingogauge {

std::vector<HostEntry> OrderHosts(std::vector<HostEntry> hosts) {
  const auto key = [](const HostEntry& host) {
    return std::make_tuple(-host.capacity, ComputeContentHash(host.name).low,
                           host.name);
  };
  std::sort(hosts.begin(), hosts.end(),
            [&key](const HostEntry& a, const HostEntry& b) {
              return key(a) < key(b);
            });
  return hosts;
}

}  // namespace flamingogauge
