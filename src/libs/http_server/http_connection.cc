#include "libs/http_server/http_connection.h"

#include <pistache/peer.h>
#include <sys/socket.h>

#include <utility>

namespace flamingogauge {
namespace {

// How long a closed connection is kept for its last bytes to be read.
constexpr std::chrono::milliseconds kLingerTime{2000};

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

HttpConnection::HttpConnection(std::shared_ptr<Pistache::Tcp::Peer> peer,
                               const HttpServerSettings& settings)
    : settings_(settings), peer_(std::move(peer)), idle_since_(Now()) {}

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

bool HttpConnection::IsBusy() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return !gone_ && !dropped_ && (has_exchange_ || outstanding_ > 0);
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
                                  std::string bytes,
                                  AnswerEnd end) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (gone_ || dropped_ || !has_exchange_ || number != exchange_) {
    return 0;
  }
  if (outstanding_ > 0 &&
      outstanding_ + bytes.size() > settings_.max_outstanding_bytes) {
    // The caller does not read. The connection breaks, and its hang-up is
    // reported by Pistache.
    dropped_ = true;
    ShutdownLocked(SHUT_RDWR);
    return outstanding_;
  }
  EndAnswerLocked(end);
  if (bytes.empty()) {
    if (closing_ && outstanding_ == 0) {
      ShutdownLocked(SHUT_WR);
    }
    return outstanding_;
  }
  return QueueWrite(std::move(lock), std::move(bytes));
}

void HttpConnection::WriteInterim(std::string bytes) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (!gone_ && !dropped_) {
    QueueWrite(std::move(lock), std::move(bytes));
  }
}

void HttpConnection::EndAnswerLocked(AnswerEnd end) {
  if (end == AnswerEnd::kOpen) {
    return;
  }
  has_exchange_ = false;
  on_gone_ = nullptr;
  on_drained_ = nullptr;
  idle_since_ = Now();
  if (end == AnswerEnd::kClose || close_after_answer_) {
    closing_ = true;
    closing_since_ = Now();
  }
}

std::size_t HttpConnection::QueueWrite(std::unique_lock<std::mutex> lock,
                                       std::string bytes) {
  const std::size_t n = bytes.size();
  if (outstanding_ == 0) {
    last_progress_ = Now();
  }
  outstanding_ += n;
  above_resume_ = above_resume_ || outstanding_ > settings_.resume_bytes;
  const std::size_t outstanding = outstanding_;
  auto sent =
      peer_->send(Pistache::RawBuffer(std::move(bytes), n), MSG_NOSIGNAL);
  // The callback may run inside then(), when the write is already done.
  lock.unlock();
  sent.then([self = shared_from_this(), n](ssize_t) { self->OnWritten(n); },
            [](std::exception_ptr&) {});
  return outstanding;
}

void HttpConnection::OnWritten(std::size_t n) {
  std::function<void()> on_drained;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    outstanding_ -= n;
    last_progress_ = Now();
    if (above_resume_ && outstanding_ <= settings_.resume_bytes) {
      above_resume_ = false;
      on_drained = on_drained_;
    }
    if (closing_ && outstanding_ == 0) {
      ShutdownLocked(SHUT_WR);
    }
  }
  if (on_drained) {
    on_drained();
  }
}

std::size_t HttpConnection::Outstanding() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return outstanding_;
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
  gone_ = true;
  peer_.reset();
  has_exchange_ = false;
  on_drained_ = nullptr;
  return std::exchange(on_gone_, nullptr);
}

ConnectionVerdict HttpConnection::Check(MonotonicTime now) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (gone_ || dropped_) {
    return ConnectionVerdict::kKeep;
  }
  if (outstanding_ > 0 && now - last_progress_ > settings_.stall_time_limit) {
    dropped_ = true;
    ShutdownLocked(SHUT_RDWR);
    return ConnectionVerdict::kSlowReader;
  }
  if (closing_ && outstanding_ == 0 && now - closing_since_ > kLingerTime) {
    dropped_ = true;
    ShutdownLocked(SHUT_RDWR);
    return ConnectionVerdict::kClosed;
  }
  if (has_exchange_ || closing_) {
    return ConnectionVerdict::kKeep;
  }
  const bool expired = request_begun_
                           ? now - request_begun_at_ >
                                 (head_complete_ ? settings_.request_time_limit
                                                 : settings_.head_time_limit)
                           : now - idle_since_ > settings_.idle_time_limit;
  if (!expired) {
    return ConnectionVerdict::kKeep;
  }
  dropped_ = true;
  ShutdownLocked(SHUT_RDWR);
  return ConnectionVerdict::kTimedOut;
}

void HttpConnection::Abort() {
  std::lock_guard<std::mutex> lock(mutex_);
  dropped_ = true;
  ShutdownLocked(SHUT_RDWR);
}

void HttpConnection::ShutdownLocked(int how) {
  // The descriptor is still this connection's: it is closed after MarkGone.
  if (!gone_) {
    ::shutdown(peer_->fd(), how);
  }
}

}  // namespace flamingogauge
