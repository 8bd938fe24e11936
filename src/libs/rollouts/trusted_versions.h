#ifndef FLAMINGOGAUGE_LIBS_ROLLOUTS_TRUSTED_VERSIONS_H_
#define FLAMINGOGAUGE_LIBS_ROLLOUTS_TRUSTED_VERSIONS_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "libs/fleet/upstream_entry.h"

namespace flamingogauge {

// The versions of each service that may get requests without an order. Without
// other knowledge that is the version of the upstream that started first, which
// all hosts derive alike from the list of upstreams.
class TrustedVersions {
 public:
  using Versions = std::set<std::string>;

  // Adds a version for each service that has none.
  void SetUpstreams(const std::vector<UpstreamEntry>& upstreams);

  // Replaces the versions of a service, after an order has ended.
  void Replace(const std::string& service, Versions versions);

  // Empty for a service without upstreams.
  const Versions& Of(const std::string& service) const;

 private:
  std::map<std::string, Versions> versions_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_ROLLOUTS_TRUSTED_VERSIONS_H_
