#ifndef FLAMINGOGAUGE_LIBS_EXPLAINING_EXPLANATION_H_
#define FLAMINGOGAUGE_LIBS_EXPLAINING_EXPLANATION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libs/dispatching/placement_explanation.h"

namespace flamingogauge {

// What a host would do with a request now, and why.
struct Explanation {
  // Further upstreams are counted, not listed.
  static constexpr std::size_t kMaxCandidates = 64;

  struct Refusal {
    int status = 0;
    std::string reason;
    std::optional<std::chrono::milliseconds> retry_after;
  };

  // The host that answers.
  std::string host;
  // The coordinator that would place the request; the host itself if it would.
  std::string decided_by;
  // Since the last report of the load that other hosts cause; nothing if there
  // was none.
  std::optional<std::chrono::milliseconds> view_age;

  // Empty without a document, a route, a service or a workspace.
  std::optional<std::uint64_t> routing_version;
  // Since the routing document was last found to be the newest.
  std::chrono::milliseconds routing_age{0};
  std::string route;
  // The services of the route; the request's id decides between them.
  std::vector<std::string> services;
  std::string service;
  std::string workspace;
  // 0 is the most urgent.
  int priority = 0;
  // Until the response would be late, and until the caller gives up.
  std::chrono::milliseconds due_in{0};
  std::chrono::milliseconds deadline_in{0};
  // What the request would cost of its workspace's limit.
  double limit_units = 0;

  // Set if the host refuses the request before it is queued.
  std::optional<Refusal> refusal;
  // Set if it does not. If neither is set, the host starts, and the request
  // waits for the first routing document.
  std::optional<PlacementExplanation> placement;
};

// Formats as a JSON object, described in docs/OPERATIONS.md.
std::string FormatExplanation(const Explanation& explanation);

// Formats the answer to a question that cannot be answered.
std::string FormatError(const std::string& message);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_EXPLAINING_EXPLANATION_H_
