#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_RATE_LIMIT_SHARES_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_RATE_LIMIT_SHARES_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "libs/fleet/upstream_entry.h"

namespace flamingogauge {

// The processes that decide on requests to the same upstreams.
struct RateLimitSharers {
  // The data centres that have hosts.
  std::set<std::string> data_centres;
  // The processes of the own data centre that decide apart from each other: 1
  // for its coordinator, the number of its hosts for one that places alone.
  std::size_t nearby = 1;
};

// Divides the limit that an upstream states between the data centres. Each gets
// the same part. If the limit is so low that one request of each data centre
// would exceed it, only some of them send requests there: first the upstream's
// own, then those of its region. Which of the others is another choice for each
// upstream. All hosts come to the same result by themselves.
class RateLimitShares {
 public:
  RateLimitShares(std::string data_centre,
                  std::map<std::string, std::string> regions);

  // Replaces the region of each data centre.
  void SetRegions(std::map<std::string, std::string> regions);
  void SetSharers(RateLimitSharers sharers);

  // The part of the upstream's limit, in requests per second from all hosts
  // together, that this process may use; 0 to 1.
  double ShareOf(const UpstreamEntry& upstream, double limit) const;

 private:
  // The data centres that are nearer to the upstream than the own one, or
  // chosen before it.
  std::size_t CountBefore(const UpstreamEntry& upstream) const;

  std::string data_centre_;
  std::map<std::string, std::string> regions_;
  RateLimitSharers sharers_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_RATE_LIMIT_SHARES_H_
