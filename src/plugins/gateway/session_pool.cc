#include "plugins/gateway/session_pool.h"

#include <utility>

#include "libs/limits/connection_choice.h"
#include "plugins/gateway/http_session.h"

namespace flamingogauge {

std::string_view ToString(CloseReason reason) {
  switch (reason) {
    case CloseReason::kMemory:
      return "memory";
    case CloseReason::kConnections:
      return "connections";
    case CloseReason::kUnread:
      return "unread";
  }
  return "unknown";
}

SessionPool::SessionPool(SessionPoolOptions options)
    : options_(std::move(options)), budget_(options_.max_held_bytes) {}

bool SessionPool::MakeRoom() {
  if (sessions_.size() < options_.max_connections) {
    return true;
  }
  std::vector<ConnectionActivity> activities;
  activities.reserve(sessions_.size());
  for (const auto& [id, it] : sessions_) {
    if (const auto session = it.lock()) {
      activities.push_back(session->Activity());
    }
  }
  CloseAll(ChooseConnectionsToClose(std::move(activities)),
           CloseReason::kConnections);
  return sessions_.size() < options_.max_connections;
}

std::uint64_t SessionPool::Add(std::weak_ptr<HttpSession> session) {
  const std::uint64_t id = next_id_++;
  sessions_.emplace(id, std::move(session));
  return id;
}

void SessionPool::Remove(std::uint64_t id) {
  sessions_.erase(id);
  delivering_.erase(id);
  budget_.Remove(id);
}

void SessionPool::RelieveMemory() {
  if (budget_.is_exceeded()) {
    CloseAll(budget_.ChooseToClose(), CloseReason::kMemory);
  }
}

void SessionPool::CheckUnread(MonotonicTime now) {
  CheckDeliveries(now);
  if (budget_.total() == 0) {
    return;
  }
  // A copy, since a session that ends removes itself.
  for (const auto& session : sessions()) {
    session->CheckPeer();
    session->AccountHeld();
  }
  RelieveMemory();
}

void SessionPool::CheckDeliveries(MonotonicTime now) {
  std::vector<std::uint64_t> unread;
  std::erase_if(delivering_, [this, now, &unread](std::uint64_t id) {
    const auto session = sessions_.at(id).lock();
    if (!session || !session->CheckDelivery(now)) {
      return true;
    }
    if (now - session->last_read_at() >= options_.unread_limit) {
      unread.push_back(id);
    }
    return false;
  });
  CloseAll(unread, CloseReason::kUnread);
}

void SessionPool::CloseAll(const std::vector<std::uint64_t>& ids,
                           CloseReason reason) {
  for (const std::uint64_t id : ids) {
    const auto found = sessions_.find(id);
    const auto session =
        found != sessions_.end() ? found->second.lock() : nullptr;
    if (!session) {
      Remove(id);
      continue;
    }
    const std::size_t held_bytes = budget_.HeldFor(id);
    session->CloseFor(reason);
    if (options_.on_closed) {
      options_.on_closed(reason, held_bytes);
    }
  }
}

void SessionPool::SetLimits(std::size_t max_held_bytes,
                            std::size_t max_connections,
                            std::chrono::milliseconds unread_limit) {
  options_.max_held_bytes = max_held_bytes;
  options_.max_connections = max_connections;
  options_.unread_limit = unread_limit;
  budget_.SetMaxBytes(max_held_bytes);
}

std::vector<std::shared_ptr<HttpSession>> SessionPool::sessions() const {
  std::vector<std::shared_ptr<HttpSession>> sessions;
  sessions.reserve(sessions_.size());
  for (const auto& [id, it] : sessions_) {
    if (auto session = it.lock()) {
      sessions.push_back(std::move(session));
    }
  }
  return sessions;
}

}  // namespace flamingogauge
