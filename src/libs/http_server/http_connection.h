#ifndef FLAMINGOGAUGE_LIBS_HTTP_SERVER_HTTP_CONNECTION_H_
#define FLAMINGOGAUGE_LIBS_HTTP_SERVER_HTTP_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

#include "libs/http_server/http_head_scanner.h"
#include "libs/http_server/http_server.h"
#include "libs/http_server/write_poller.h"
#include "libs/kernel/time.h"

namespace flamingogauge {

// Whether a write is the last of an answer, and what follows it.
enum class AnswerEnd { kOpen, kComplete, kClose };

// Why the periodic check ended a connection.
enum class ConnectionVerdict { kKeep, kSlowReader, kTimedOut, kClosed };

// One caller's connection. Pistache accepts and reads it; answers are written
// here, through a duplicate of its descriptor that only this class closes.
// Pistache's own queue names a connection by its descriptor, which the kernel
// reuses, so a queued answer could reach another caller (I3); its flush() ends
// the process with "could not find write data" when other connections have
// queued writes.
class HttpConnection {
 public:
  // Duplicates `fd`. `id` names the connection to the poller.
  HttpConnection(int fd,
                 std::uint64_t id,
                 WritePoller* poller,
                 const HttpServerSettings& settings);
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;
  ~HttpConnection();

  // False when the process has no descriptors left.
  bool IsOpen() const;

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

  // Writes bytes of the answer with this number and returns the bytes not yet
  // taken by the caller; 0 when that answer has ended or the caller is gone.
  std::size_t Write(std::uint64_t number,
                    std::string_view bytes,
                    AnswerEnd end);

  // Writes bytes outside an answer, for example "100 Continue".
  void WriteInterim(std::string_view bytes);

  std::size_t Outstanding() const;

  // Records that bytes of a request arrived, and whether its head is complete.
  void NoteInput(bool head_complete, MonotonicTime now);
  // Further bytes came before the answer ended; it will be the last one.
  void CloseAfterAnswer();

  // The socket takes bytes again.
  void OnWritable();

  // Forbids further writes and closes the duplicate. Returns the listener to
  // call when an answer was cut short.
  std::function<void()> MarkGone();

  // Enforces the time limits.
  ConnectionVerdict Check(MonotonicTime now);

  // Breaks the connection.
  void Abort();

 private:
  void EndAnswerLocked(AnswerEnd end);
  void ShutdownLocked(int how);
  std::size_t OutstandingLocked() const { return unsent_.size() - sent_; }
  void AppendLocked(std::string_view bytes);
  // Gives the socket what it takes and waits for it to take the rest.
  void FlushLocked();

  const std::uint64_t id_;
  WritePoller* const poller_;
  const HttpServerSettings settings_;

  mutable std::mutex mutex_;
  bool gone_ = false;
  int fd_ = -1;
  // The connection closes once its last answer is written.
  bool closing_ = false;
  bool dropped_ = false;
  bool close_after_answer_ = false;
  bool has_exchange_ = false;
  std::uint64_t exchange_ = 0;
  std::function<void()> on_gone_;
  std::function<void()> on_drained_;
  // The bytes that the socket has not taken begin at `sent_`.
  std::string unsent_;
  std::size_t sent_ = 0;
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
