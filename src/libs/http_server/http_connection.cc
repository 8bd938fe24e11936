#include "libs/http_server/http_connection.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace flamingogauge {
namespace {

// Time that a connection stays half-closed after its last response, so that the
// caller can read the remaining bytes.
constexpr std::chrono::milliseconds kLingerTime{2000};

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

HttpConnection::HttpConnection(int fd,
                               std::uint64_t id,
                               WritePoller* poller,
                               HeldMemory* held,
                               std::function<void()> relieve,
                               const HttpServerSettings& settings)
    : id_(id),
      poller_(poller),
      held_(held),
      relieve_(std::move(relieve)),
      settings_(settings),
      fd_(::fcntl(fd, F_DUPFD_CLOEXEC, 0)),
      idle_since_(Now()) {}

HttpConnection::~HttpConnection() {
  MarkGone();
}

bool HttpConnection::IsOpen() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return fd_ >= 0;
}

std::uint64_t HttpConnection::StartExchange(bool close_after_answer) {
  std::lock_guard<std::mutex> lock(mutex_);
  close_after_answer_ = close_after_answer_ || close_after_answer;
  has_exchange_ = true;
  request_begun_ = false;
  last_progress_ = Now();
  return ++exchange_;
}

bool HttpConnection::HasExchange() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return has_exchange_;
}

bool HttpConnection::IsClosing() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return closing_ || gone_ || dropped_;
}

bool HttpConnection::IsDropped() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return gone_ || dropped_;
}

bool HttpConnection::IsBusy() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return !gone_ && !dropped_ && (has_exchange_ || OutstandingLocked() > 0);
}

bool HttpConnection::ClosesAfterAnswer() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return close_after_answer_;
}

void HttpConnection::CloseAfterAnswer() {
  std::lock_guard<std::mutex> lock(mutex_);
  close_after_answer_ = true;
}

void HttpConnection::SetListener(std::uint64_t number,
                                 std::function<void()> on_gone,
                                 std::function<void()> on_drained) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (has_exchange_ && number == exchange_) {
    on_gone_ = std::move(on_gone);
    on_drained_ = std::move(on_drained);
  }
}

std::size_t HttpConnection::Write(std::uint64_t number,
                                  std::string_view bytes,
                                  AnswerEnd end) {
  std::size_t outstanding = 0;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (gone_ || dropped_ || !has_exchange_ || number != exchange_) {
      return 0;
    }
    outstanding = OutstandingLocked();
    if (outstanding > 0 &&
        outstanding + bytes.size() > settings_.max_outstanding_bytes) {
      // The caller does not read. The connection is shut down, and Pistache
      // then reports the disconnection.
      DropLocked();
      return outstanding;
    }
    EndAnswerLocked(end);
    AppendLocked(bytes);
    outstanding = OutstandingLocked();
  }
  if (outstanding > 0) {
    relieve_();
  }
  return outstanding;
}

void HttpConnection::WriteInterim(std::string_view bytes) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (!gone_ && !dropped_) {
    AppendLocked(bytes);
  }
}

void HttpConnection::EndAnswerLocked(AnswerEnd end) {
  if (end == AnswerEnd::kOpen) {
    return;
  }
  has_exchange_ = false;
  held_->Set(id_, HeldKind::kRequest, 0);
  on_gone_ = nullptr;
  on_drained_ = nullptr;
  idle_since_ = Now();
  if (end == AnswerEnd::kClose || close_after_answer_) {
    closing_ = true;
    closing_since_ = Now();
  }
}

void HttpConnection::AppendLocked(std::string_view bytes) {
  if (OutstandingLocked() == 0) {
    last_progress_ = Now();
  }
  const bool waits = OutstandingLocked() > 0;
  unsent_ += bytes;
  if (!waits) {
    FlushLocked();
  }
  above_resume_ = above_resume_ || OutstandingLocked() > settings_.resume_bytes;
  AccountUnsentLocked();
}

void HttpConnection::AccountUnsentLocked() {
  if (!gone_ && !dropped_) {
    held_->Set(id_, HeldKind::kUnsent, OutstandingLocked());
  }
}

void HttpConnection::SetHeldInput(std::size_t bytes) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (!gone_ && !dropped_) {
    held_->Set(id_, HeldKind::kInput, bytes);
  }
}

void HttpConnection::SetHeldRequest(std::size_t bytes) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (!gone_ && !dropped_ && has_exchange_) {
    held_->Set(id_, HeldKind::kRequest, bytes);
  }
}

ConnectionActivity HttpConnection::Activity() const {
  std::lock_guard<std::mutex> lock(mutex_);
  ConnectionActivity activity{.id = id_, .since = idle_since_};
  if (has_exchange_) {
    activity.phase = ConnectionPhase::kAnswering;
  } else if (OutstandingLocked() > 0) {
    activity.phase = ConnectionPhase::kUnread;
    activity.since = last_progress_;
  } else if (closing_) {
    activity.phase = ConnectionPhase::kLingering;
    activity.since = closing_since_;
  } else if (request_begun_) {
    activity.since = request_begun_at_;
  }
  return activity;
}

void HttpConnection::FlushLocked() {
  while (OutstandingLocked() > 0) {
    const ssize_t n = ::send(fd_, unsent_.data() + sent_, OutstandingLocked(),
                             MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      // Removes the sent bytes, so that the buffer does not grow.
      unsent_.erase(0, std::exchange(sent_, 0));
      poller_->Arm(fd_, id_);
      return;
    }
    if (n <= 0) {
      // The caller closed the connection; Pistache reports the disconnection.
      dropped_ = true;
      break;
    }
    sent_ += static_cast<std::size_t>(n);
    last_progress_ = Now();
  }
  std::string().swap(unsent_);
  sent_ = 0;
  if (closing_ && !dropped_) {
    ShutdownLocked(SHUT_WR);
  }
}

void HttpConnection::OnWritable() {
  std::function<void()> on_drained;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (gone_ || dropped_) {
      return;
    }
    FlushLocked();
    AccountUnsentLocked();
    if (above_resume_ && OutstandingLocked() <= settings_.resume_bytes) {
      above_resume_ = false;
      on_drained = on_drained_;
    }
  }
  if (on_drained) {
    on_drained();
  }
}

std::size_t HttpConnection::Outstanding() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return OutstandingLocked();
}

void HttpConnection::NoteInput(bool head_complete, MonotonicTime now) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (!request_begun_) {
    request_begun_ = true;
    request_begun_at_ = now;
  }
  head_complete_ = head_complete;
}

std::function<void()> HttpConnection::MarkGone() {
  std::lock_guard<std::mutex> lock(mutex_);
  const bool was_gone = std::exchange(gone_, true);
  if (!was_gone) {
    // Later the server, which owns the account, may be gone, too.
    held_->Remove(id_);
    std::string().swap(unsent_);
    sent_ = 0;
  }
  if (!was_gone && fd_ >= 0) {
    // Pistache's descriptor keeps the socket open, so closing this duplicate
    // does not remove it from the poller.
    poller_->Remove(fd_);
    ::close(std::exchange(fd_, -1));
  }
  has_exchange_ = false;
  on_drained_ = nullptr;
  return std::exchange(on_gone_, nullptr);
}

ConnectionCheckResult HttpConnection::Check(MonotonicTime now) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (gone_ || dropped_) {
    return ConnectionCheckResult::kKeep;
  }
  if (OutstandingLocked() > 0 &&
      now - last_progress_ > settings_.stall_time_limit) {
    DropLocked();
    return ConnectionCheckResult::kSlowReader;
  }
  if (closing_ && OutstandingLocked() == 0 &&
      now - closing_since_ > kLingerTime) {
    dropped_ = true;
    ShutdownLocked(SHUT_RDWR);
    return ConnectionCheckResult::kClosed;
  }
  if (has_exchange_ || closing_) {
    return ConnectionCheckResult::kKeep;
  }
  const bool expired = request_begun_
                           ? now - request_begun_at_ >
                                 (head_complete_ ? settings_.request_time_limit
                                                 : settings_.head_time_limit)
                           : now - idle_since_ > settings_.idle_time_limit;
  if (!expired) {
    return ConnectionCheckResult::kKeep;
  }
  dropped_ = true;
  ShutdownLocked(SHUT_RDWR);
  return ConnectionCheckResult::kTimedOut;
}

void HttpConnection::Abort() {
  std::lock_guard<std::mutex> lock(mutex_);
  DropLocked();
}

void HttpConnection::DropLocked() {
  dropped_ = true;
  std::string().swap(unsent_);
  sent_ = 0;
  held_->Remove(id_);
  if (fd_ >= 0) {
    const linger reset{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }
  ShutdownLocked(SHUT_RDWR);
}

void HttpConnection::ShutdownLocked(int how) {
  if (fd_ >= 0) {
    ::shutdown(fd_, how);
  }
}

}  // namespace flamingogauge
