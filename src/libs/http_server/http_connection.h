#ifndef FLAMINGOGAUGE_LIBS_HTTP_SERVER_HTTP_CONNECTION_H_
#define FLAMINGOGAUGE_LIBS_HTTP_SERVER_HTTP_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "libs/http_server/http_head_scanner.h"
#include "libs/http_server/http_server.h"
#include "libs/kernel/time.h"

namespace Pistache::Tcp {
class Peer;
}  // namespace Pistache::Tcp

namespace flamingogauge {

// Whether a write is the last of an answer, and what follows it.
enum class AnswerEnd { kOpen, kComplete, kClose };

// Why the periodic check ended a connection.
enum class ConnectionVerdict { kKeep, kSlowReader, kTimedOut, kClosed };

// One caller's connection. Pistache's queued writes name a connection by its
// file descriptor, which the kernel reuses. Therefore all writes are queued
// under the mutex, and none after MarkGone, which Pistache's handler calls and
// follows with a flush of the queue before the descriptor is closed.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(std::shared_ptr<Pistache::Tcp::Peer> peer,
                 const HttpServerSettings& settings);

  // Starts the answer to a request and returns its number.
  std::uint64_t StartExchange(bool close_after_answer);
  bool HasExchange() const;
  bool IsClosing() const;
  // True while an answer is in progress or partly unsent.
  bool IsBusy() const;
  bool ClosesAfterAnswer() const;

  void SetListener(std::uint64_t number,
                   std::function<void()> on_gone,
                   std::function<void()> on_drained);

  // Queues bytes of the answer with this number and returns the bytes not yet
  // taken by the caller; 0 when that answer has ended or the caller is gone.
  std::size_t Write(std::uint64_t number, std::string bytes, AnswerEnd end);

  // Queues bytes outside an answer, for example "100 Continue".
  void WriteInterim(std::string bytes);

  std::size_t Outstanding() const;

  // Records that bytes of a request arrived, and whether its head is complete.
  void NoteInput(bool head_complete, MonotonicTime now);
  // Further bytes came before the answer ended; it will be the last one.
  void CloseAfterAnswer();

  // Forbids further writes. Returns the listener to call when an answer was
  // cut short.
  std::function<void()> MarkGone();

  // Enforces the time limits.
  ConnectionVerdict Check(MonotonicTime now);

  // Breaks the connection.
  void Abort();

 private:
  void OnWritten(std::size_t n);
  void EndAnswerLocked(AnswerEnd end);
  void ShutdownLocked(int how);
  std::size_t QueueWrite(std::unique_lock<std::mutex> lock, std::string bytes);

  const HttpServerSettings settings_;

  mutable std::mutex mutex_;
  bool gone_ = false;
  // Held until MarkGone, so that no other thread drops the last reference and
  // destroys Pistache's object there.
  std::shared_ptr<Pistache::Tcp::Peer> peer_;
  // The last answer was queued; the connection closes once it is written.
  bool closing_ = false;
  bool dropped_ = false;
  bool close_after_answer_ = false;
  bool has_exchange_ = false;
  std::uint64_t exchange_ = 0;
  std::function<void()> on_gone_;
  std::function<void()> on_drained_;
  std::size_t outstanding_ = 0;
  // True while the caller has more unread bytes than `resume_bytes`.
  bool above_resume_ = false;
  bool request_begun_ = false;
  bool head_complete_ = false;
  MonotonicTime request_begun_at_;
  MonotonicTime idle_since_;
  MonotonicTime last_progress_;
  MonotonicTime closing_since_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_HTTP_SERVER_HTTP_CONNECTION_H_
