#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_SESSION_POOL_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_SESSION_POOL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "libs/kernel/time.h"
#include "libs/limits/memory_budget.h"

namespace flamingogauge {

class HttpSession;

// Why a connection was closed because of a bound.
enum class CloseReason {
  // The host holds more for its callers than it may.
  kMemory,
  // As many connections are open as are allowed, and a further one arrived.
  kConnections,
  // The caller has read nothing for too long.
  kUnread,
};

inline constexpr std::size_t kCloseReasonCount = 3;

std::string_view ToString(CloseReason reason);

struct SessionPoolOptions {
  // Bound on what is held for all connections, in bytes.
  std::size_t max_held_bytes = std::size_t{1} << 30U;
  std::size_t max_connections = 65536;
  // How long a caller may leave a response unread.
  std::chrono::milliseconds unread_limit{15000};
  // Called with what was held for the connection; may be empty.
  std::function<void(CloseReason reason, std::size_t held_bytes)> on_closed;
};

// The open connections of one acceptor. Enforces the bounds on their number and
// on the memory that is held for them. Accessed on one thread only.
class SessionPool {
 public:
  explicit SessionPool(SessionPoolOptions options);
  SessionPool(const SessionPool&) = delete;
  SessionPool& operator=(const SessionPool&) = delete;

  // Closes connections if as many are open as are allowed. Returns false if all
  // are occupied with requests, so that a further one has no room.
  bool MakeRoom();
  // Adds an open connection and returns its id.
  std::uint64_t Add(std::weak_ptr<HttpSession> session);
  void Remove(std::uint64_t id);

  // Has CheckUnread() check that the caller reads what was written, until it
  // has read all of it.
  void WatchDelivery(std::uint64_t id) { delivering_.insert(id); }

  MemoryBudget& budget() { return budget_; }
  // Closes connections until what is held is within the bound. To be called
  // where any connection may be closed, before more is received.
  void RelieveMemory();
  // Closes the connections of callers that have read nothing for too long, and
  // of those that have left while their input is not read; accounts what the
  // kernel has received for connections that are not read. To be called
  // periodically.
  void CheckUnread(MonotonicTime now);

  void SetLimits(std::size_t max_held_bytes,
                 std::size_t max_connections,
                 std::chrono::milliseconds unread_limit);
  std::size_t size() const { return sessions_.size(); }
  std::vector<std::shared_ptr<HttpSession>> sessions() const;

 private:
  void CheckDeliveries(MonotonicTime now);
  void CloseAll(const std::vector<std::uint64_t>& ids, CloseReason reason);

  SessionPoolOptions options_;
  MemoryBudget budget_;
  std::unordered_map<std::uint64_t, std::weak_ptr<HttpSession>> sessions_;
  // Connections on which the kernel may have something to send.
  std::unordered_set<std::uint64_t> delivering_;
  std::uint64_t next_id_ = 1;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_SESSION_POOL_H_
