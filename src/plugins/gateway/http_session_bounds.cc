// The part of HttpSession that keeps the bounds on what a caller occupies.
#include <utility>

#include "plugins/gateway/http_session.h"
#include "plugins/gateway/socket_options.h"

namespace flamingogauge {
namespace {

using boost::system::error_code;

// With more unsent bytes than this, reading the upstream's response is paused.
constexpr std::size_t kMaxUnsentBytes = 262144;
constexpr int kServiceUnavailable = 503;

}  // namespace

void HttpSession::CheckPeer() {
  if (socket_.is_open() && InputRoom() == 0 && HasPeerClosed(socket_)) {
    OnDisconnected();
  }
}

bool HttpSession::CheckDelivery(MonotonicTime now) {
  if (!socket_.is_open()) {
    return false;
  }
  const SendQueue queue = ReadSendQueue(socket_).value_or(SendQueue());
  const bool limit_applies = delivery_.OnSample(queue, now);
  unacknowledged_limit_.SetLifted(socket_, !limit_applies);
  return has_unread();
}

void HttpSession::AccountHeld() {
  if (!socket_.is_open()) {
    return;
  }
  std::size_t input = reader_ ? reader_->held_bytes() : 0;
  input += input_.size();
  if (InputRoom() == 0) {
    // Left to the kernel, whose memory is that of the host, too.
    error_code ec;
    input += socket_.available(ec);
  }
  MemoryBudget& budget = pool_->budget();
  budget.Set(id_, HeldKind::kInput, input);
  budget.Set(id_, HeldKind::kUnsent, unsent_.held_bytes());
}

void HttpSession::SetHeld(HeldKind kind, std::size_t bytes) {
  if (socket_.is_open()) {
    pool_->budget().Set(id_, kind, bytes);
  }
}

void HttpSession::RelieveMemory() {
  pool_->RelieveMemory();
}

void HttpSession::CloseFor(CloseReason reason) {
  if (reason == CloseReason::kMemory && receiving_ && !closing_) {
    RefuseRequest(kServiceUnavailable, "the host is short of memory");
    return;
  }
  if (reason == CloseReason::kMemory && answering_ && on_memory_short_) {
    const auto on_memory_short = on_memory_short_;
    on_memory_short();
    return;
  }
  const bool is_written = !answering_ && unsent_.empty();
  if (is_written && reason != CloseReason::kUnread) {
    // The kernel goes on sending what it holds.
    Close();
    return;
  }
  // What has been written of a response must not look complete.
  const auto on_disconnect = std::exchange(on_disconnect_, nullptr);
  AbortWithReset();
  if (on_disconnect) {
    on_disconnect();
  }
}

ConnectionActivity HttpSession::Activity() const {
  ConnectionActivity activity{.id = id_, .since = idle_since_};
  if (lingering_) {
    activity.phase = ConnectionPhase::kLingering;
  } else if (answering_) {
    activity.phase = ConnectionPhase::kAnswering;
  } else if (has_unread()) {
    activity.phase = ConnectionPhase::kUnread;
    activity.since = last_read_at();
  } else if (receiving_) {
    activity.since = request_began_at_;
  }
  return activity;
}

bool HttpSession::has_write_backlog() const {
  return unsent_.size() > kMaxUnsentBytes;
}

}  // namespace flamingogauge
