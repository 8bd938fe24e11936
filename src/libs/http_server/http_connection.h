#ifndef FLAMINGOGAUGE_LIBS_HTTP_SERVER_HTTP_CONNECTION_H_
#define FLAMINGOGAUGE_LIBS_HTTP_SERVER_HTTP_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

#include "libs/http_server/held_memory.h"
#include "libs/http_server/http_head_scanner.h"
#include "libs/http_server/http_server.h"
#include "libs/http_server/write_poller.h"
#include "libs/kernel/time.h"
#include "libs/limits/connection_choice.h"

namespace flamingogauge {

// Whether a write is the last one of a response, and whether the connection is
// closed after it.
enum class AnswerEnd { kOpen, kComplete, kClose };

// Result of the periodic check: kKeep, or why the connection was closed.
enum class ConnectionCheckResult { kKeep, kSlowReader, kTimedOut, kClosed };

// A connection of a caller. Pistache accepts and reads it; this class writes
// the responses through a duplicate of the descriptor that only this class
// closes. Pistache's own write queue identifies a connection by its descriptor,
// which the kernel reuses, so a queued response could reach another caller
// (I3); its flush() terminates the process with "could not find write data"
// when other connections have queued writes.
class HttpConnection {
 public:
  // Duplicates `fd`. `id` identifies the connection in the poller and in
  // `held`. `relieve` is called without a lock after more has been written than
  // the caller reads; it may close this connection and others.
  HttpConnection(int fd,
                 std::uint64_t id,
                 WritePoller* poller,
                 HeldMemory* held,
                 std::function<void()> relieve,
                 const HttpServerSettings& settings);
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;
  ~HttpConnection();

  // Returns false if the process was out of file descriptors when the duplicate
  // was made, and after MarkGone.
  bool IsOpen() const;

  // Starts the response to a request and returns its number.
  std::uint64_t StartExchange(bool close_after_answer);
  bool HasExchange() const;
  bool IsClosing() const;
  // Returns true once the connection has been shut down at once.
  bool IsDropped() const;
  // Returns true while a response is in progress or partly unsent.
  bool IsBusy() const;
  bool ClosesAfterAnswer() const;

  void SetListener(std::uint64_t number,
                   std::function<void()> on_gone,
                   std::function<void()> on_drained);

  // Writes bytes of the response with this number and returns the number of
  // unsent bytes; 0 if that response has ended or the caller has disconnected.
  std::size_t Write(std::uint64_t number,
                    std::string_view bytes,
                    AnswerEnd end);

  // Writes bytes outside a response, for example "100 Continue".
  void WriteInterim(std::string_view bytes);

  std::size_t Outstanding() const;

  // States what is held of the request that is received or handled, in bytes.
  void SetHeldInput(std::size_t bytes);
  void SetHeldRequest(std::size_t bytes);

  // What the connection is occupied with.
  ConnectionActivity Activity() const;

  // Records that bytes of a request arrived, and whether its head is complete.
  void NoteInput(bool head_complete, MonotonicTime now);
  // Closes the connection after the current or next response, for example
  // because further bytes arrived before the current one ended.
  void CloseAfterAnswer();

  // Called when the socket is writable again.
  void OnWritable();

  // Forbids further writes and closes the duplicate. Returns the listener to
  // call if a response was interrupted.
  std::function<void()> MarkGone();

  // Enforces the time limits.
  ConnectionCheckResult Check(MonotonicTime now);

  // Shuts down the connection in both directions immediately.
  void Abort();

 private:
  void EndAnswerLocked(AnswerEnd end);
  void ShutdownLocked(int how);
  // Shuts down the connection and frees what is held for it. The caller sees a
  // reset, so that a part of a response does not look complete.
  void DropLocked();
  void AccountUnsentLocked();
  std::size_t OutstandingLocked() const { return unsent_.size() - sent_; }
  void AppendLocked(std::string_view bytes);
  // Sends as much as the socket accepts and arms the poller for the rest.
  void FlushLocked();

  const std::uint64_t id_;
  WritePoller* const poller_;
  HeldMemory* const held_;
  const std::function<void()> relieve_;
  const HttpServerSettings settings_;

  mutable std::mutex mutex_;
  bool gone_ = false;
  int fd_ = -1;
  // The connection is closed once its last response is written.
  bool closing_ = false;
  bool dropped_ = false;
  bool close_after_answer_ = false;
  bool has_exchange_ = false;
  std::uint64_t exchange_ = 0;
  std::function<void()> on_gone_;
  std::function<void()> on_drained_;
  // Bytes from offset `sent_` on have not been accepted by the socket.
  std::string unsent_;
  std::size_t sent_ = 0;
  // Set when the unsent bytes exceed `resume_bytes`; reset once they no longer
  // do.
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
