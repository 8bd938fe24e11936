#ifndef FLAMINGOGAUGE_LIBS_MODEL_RENDEZVOUS_H_
#define FLAMINGOGAUGE_LIBS_MODEL_RENDEZVOUS_H_

#include <string_view>
#include <vector>

#include "libs/model/ids.h"

namespace flamingogauge {

// Orders hosts by their highest random weight for a key (Thaler and Ravishankar
// 1998). All hosts that see the same candidates choose the same order, and a
// host that leaves moves only the keys that it was first for.
std::vector<HostId> RendezvousOrder(std::string_view key,
                                    std::vector<HostId> candidates);

// Returns the first host of that order; `candidates` must not be empty.
HostId RendezvousFirst(std::string_view key,
                       const std::vector<HostId>& candidates);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_MODEL_RENDEZVOUS_H_
