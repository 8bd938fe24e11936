#include "libs/limits/memory_budget.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace flamingogauge {
namespace {

// Closing a few more than necessary keeps the choice, which looks at all
// connections, rare while a crowd presses.
constexpr std::size_t kTargetNumerator = 3;
constexpr std::size_t kTargetDenominator = 4;
// Unsent bytes from which a connection counts as not read: one read from an
// upstream. A socket buffer that is full for a moment usually leaves less.
constexpr std::size_t kUnreadBytes = 65536;

template <typename Held>
std::size_t Sum(const Held& held) {
  return std::accumulate(held.begin(), held.end(), std::size_t{0});
}

}  // namespace

std::string_view ToString(HeldKind kind) {
  switch (kind) {
    case HeldKind::kInput:
      return "input";
    case HeldKind::kRequest:
      return "request";
    case HeldKind::kResponse:
      return "response";
    case HeldKind::kUnsent:
      return "unsent";
  }
  return "unknown";
}

void MemoryBudget::Set(ConnectionId connection,
                       HeldKind kind,
                       std::size_t bytes) {
  const auto index = static_cast<std::size_t>(kind);
  const auto found = held_.find(connection);
  if (found == held_.end()) {
    if (bytes > 0) {
      held_[connection][index] = bytes;
      totals_[index] += bytes;
    }
    return;
  }
  totals_[index] += bytes - found->second[index];
  found->second[index] = bytes;
  if (Sum(found->second) == 0) {
    held_.erase(found);
  }
}

void MemoryBudget::Remove(ConnectionId connection) {
  const auto found = held_.find(connection);
  if (found == held_.end()) {
    return;
  }
  for (std::size_t it = 0; it < kHeldKindCount; ++it) {
    totals_[it] -= found->second[it];
  }
  held_.erase(found);
}

std::size_t MemoryBudget::total() const {
  return Sum(totals_);
}

std::size_t MemoryBudget::HeldFor(ConnectionId connection) const {
  const auto found = held_.find(connection);
  return found == held_.end() ? 0 : Sum(found->second);
}

std::vector<MemoryBudget::ConnectionId> MemoryBudget::ChooseToClose() const {
  if (!is_exceeded()) {
    return {};
  }
  struct Candidate {
    ConnectionId id;
    bool is_unread;
    std::size_t bytes;
  };
  std::vector<Candidate> candidates;
  candidates.reserve(held_.size());
  for (const auto& [id, held] : held_) {
    candidates.push_back(
        {.id = id,
         .is_unread =
             held[static_cast<std::size_t>(HeldKind::kUnsent)] >= kUnreadBytes,
         .bytes = Sum(held)});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::tie(a.is_unread, a.bytes, a.id) >
                     std::tie(b.is_unread, b.bytes, b.id);
            });
  const std::size_t target = max_bytes_ / kTargetDenominator * kTargetNumerator;
  std::size_t left = total();
  std::vector<ConnectionId> chosen;
  for (const Candidate& it : candidates) {
    if (left <= target) {
      break;
    }
    chosen.push_back(it.id);
    left -= it.bytes;
  }
  return chosen;
}

}  // namespace flamingogauge
