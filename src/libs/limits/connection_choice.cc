#include "libs/limits/connection_choice.h"

#include <algorithm>
#include <tuple>

namespace flamingogauge {
namespace {

constexpr std::size_t kClosedFraction = 32;

}  // namespace

std::vector<std::uint64_t> ChooseConnectionsToClose(
    std::vector<ConnectionActivity> connections) {
  const std::size_t wanted =
      std::max<std::size_t>(1, connections.size() / kClosedFraction);
  std::erase_if(connections, [](const ConnectionActivity& it) {
    return it.phase == ConnectionPhase::kAnswering;
  });
  std::sort(connections.begin(), connections.end(),
            [](const ConnectionActivity& a, const ConnectionActivity& b) {
              return std::tie(a.phase, a.since, a.id) <
                     std::tie(b.phase, b.since, b.id);
            });
  std::vector<std::uint64_t> chosen;
  for (const ConnectionActivity& it : connections) {
    if (chosen.size() == wanted) {
      break;
    }
    chosen.push_back(it.id);
  }
  return chosen;
}

}  // namespace flamingogauge
