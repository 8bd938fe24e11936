#include "libs/http_framing/event_boundary_tracker.h"

#include <algorithm>

namespace flamingogauge {
namespace {

constexpr std::size_t kMaxTail = 3;

}  // namespace

void EventBoundaryTracker::Feed(std::string_view bytes) {
  tail_.append(bytes.substr(bytes.size() - std::min(bytes.size(), kMaxTail)));
  tail_.erase(0, tail_.size() - std::min(tail_.size(), kMaxTail));
}

bool EventBoundaryTracker::is_within_event() const {
  return !tail_.empty() && !tail_.ends_with("\n\n") &&
         !tail_.ends_with("\n\r\n");
}

}  // namespace flamingogauge
