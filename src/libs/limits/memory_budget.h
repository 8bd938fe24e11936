#ifndef FLAMINGOGAUGE_LIBS_LIMITS_MEMORY_BUDGET_H_
#define FLAMINGOGAUGE_LIBS_LIMITS_MEMORY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace flamingogauge {

// What a host holds for a caller.
enum class HeldKind {
  // Received bytes of a request that is not complete, or is not handled yet.
  kInput,
  // A request that is being handled.
  kRequest,
  // A part of a response that is not passed on yet.
  kResponse,
  // A part of a response that the caller has not read.
  kUnsent,
};

inline constexpr std::size_t kHeldKindCount = 4;

std::string_view ToString(HeldKind kind);

// Accounts the memory that a host holds for the connections of its callers and
// chooses which of them to close when the sum exceeds a bound: first those of
// callers that leave much unread, then the others, of each the one that holds
// most. Ordinary requests hold little, and so are chosen last.
class MemoryBudget {
 public:
  using ConnectionId = std::uint64_t;

  explicit MemoryBudget(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  void SetMaxBytes(std::size_t max_bytes) { max_bytes_ = max_bytes; }
  std::size_t max_bytes() const { return max_bytes_; }

  // Replaces what is held of one kind for a connection.
  void Set(ConnectionId connection, HeldKind kind, std::size_t bytes);
  void Remove(ConnectionId connection);

  // Bytes held for all connections.
  std::size_t total() const;
  std::size_t total(HeldKind kind) const {
    return totals_[static_cast<std::size_t>(kind)];
  }
  // Bytes held for one connection.
  std::size_t HeldFor(ConnectionId connection) const;
  bool is_exceeded() const { return total() > max_bytes_; }

  // Returns the connections to close so that the sum falls to three quarters of
  // the bound, in the order in which to close them; none while the bound is not
  // exceeded. They count until they are removed.
  std::vector<ConnectionId> ChooseToClose() const;

 private:
  using Held = std::array<std::size_t, kHeldKindCount>;

  std::size_t max_bytes_;
  // Connections for which something is held.
  std::unordered_map<ConnectionId, Held> held_;
  Held totals_{};
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_LIMITS_MEMORY_BUDGET_H_
