#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_HTTP_SESSION_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_HTTP_SESSION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "libs/http_framing/http_request_reader.h"
#include "libs/http_framing/output_buffer.h"
#include "libs/kernel/time.h"
#include "libs/limits/connection_choice.h"
#include "libs/routing/routing_table.h"
#include "plugins/gateway/delivery_progress.h"
#include "plugins/gateway/session_pool.h"
#include "plugins/gateway/socket_options.h"

namespace flamingogauge {

class HttpSession;

// Handles the requests that sessions receive.
class HttpRequestHandler {
 public:
  virtual ~HttpRequestHandler() = default;

  // Called for a complete request whose first byte was read at `arrived_at`.
  // The handler responds with the session's Write and Finish.
  virtual void OnRequest(const std::shared_ptr<HttpSession>& session,
                         ParsedRequest request,
                         MonotonicTime arrived_at) = 0;

  // The limits for the next request.
  virtual CallerLimits Limits() const = 0;

  // Called for a request that is malformed or did not arrive in time.
  virtual void OnRefused(int status, const std::string& reason) = 0;
};

// A caller's connection. Processes requests one at a time: the next one is
// processed after the response to the previous one has been written. Until
// then, only a bounded part of what the caller sends ahead is received.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(boost::asio::ip::tcp::socket socket,
              HttpRequestHandler& handler,
              std::shared_ptr<SessionPool> pool);
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;
  ~HttpSession();

  void Start();

  // Queues response bytes.
  void Write(std::string bytes);
  // Completes the response and, unless `keep_open`, closes the connection after
  // it.
  void Finish(bool keep_open);
  // Closes the connection at once, so that the caller can detect that a started
  // response is incomplete.
  void Abort();
  // The same with a reset, for a response that ends with its connection: an
  // orderly close would make it look complete.
  void AbortWithReset();
  // Called once if the caller disconnects before the response is finished.
  void SetDisconnectHandler(std::function<void()> on_disconnect) {
    on_disconnect_ = std::move(on_disconnect);
  }
  // Called when so much has been written that a paused response can go on.
  void SetWritableHandler(std::function<void()> on_writable) {
    on_writable_ = std::move(on_writable);
  }
  // Called if the host is short of memory and the request is to be ended, with
  // the session's functions.
  void SetMemoryShortHandler(std::function<void()> on_memory_short) {
    on_memory_short_ = std::move(on_memory_short);
  }
  // States what the handler holds for the request or for a part of its response
  // that it has not written yet.
  void SetHeld(HeldKind kind, std::size_t bytes);
  // Accounts what is received and not processed, and what is not written.
  void AccountHeld();
  // Ends the request of a caller that has closed the connection, where its
  // input is left to the kernel, so that reading can't tell.
  void CheckPeer();
  // Checks whether the caller, which may read late, is still there. Returns
  // false if the kernel has sent all that was written. To be called several
  // times within the kernel's limit until then.
  bool CheckDelivery(MonotonicTime now);
  // Closes connections if the host holds more than it may, perhaps this one;
  // see SessionPool.
  void RelieveMemory();
  // Ends the connection because of a bound.
  void CloseFor(CloseReason reason);

  // The id in the pool.
  std::uint64_t id() const { return id_; }
  bool has_write_backlog() const;
  bool has_unsent() const { return !unsent_.empty(); }
  // Whether the caller has still to read a part of a response, which may be
  // with the kernel.
  bool has_unread() const {
    return has_unsent() || delivery_.kernel_bytes() > 0;
  }
  // When the caller has last read, or a response began to wait for it.
  MonotonicTime last_read_at() const { return delivery_.last_taken_at(); }
  ConnectionActivity Activity() const;
  // Whether a part of the next request has been received.
  bool is_receiving() const;
  // Whether a part of a finished response has not been written yet, to a caller
  // that still reads it.
  bool is_flushing() const;
  bool is_open() const { return socket_.is_open(); }
  // Closes the connection if it is idle; a request that is arriving and a
  // response that is being written are not interrupted.
  void CloseIfIdle();

 private:
  void WaitForInput();
  // Waits for a reset by the caller while its input is left to the kernel.
  void WaitForReset();
  void OnReadable();
  void ProcessInput();
  void DispatchRequest();
  void RefuseRequest(int status, const std::string& reason);
  // Writes what the socket takes.
  void Flush();
  void WaitForWritable();
  void OnWritable();
  // Whether the next request may be processed.
  bool AcceptsNextRequest() const;
  // How much may be received now; 0 to leave it to the kernel.
  std::size_t InputRoom() const;
  // Frees the memory of the input if there is none.
  void TrimInput();
  void CloseAfterWrite();
  void SetTimer(std::chrono::milliseconds delay);
  void OnTimer();
  void OnDisconnected();
  void Close();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  HttpRequestHandler& handler_;
  const std::shared_ptr<SessionPool> pool_;
  std::uint64_t id_ = 0;
  CallerLimits limits_;
  std::unique_ptr<HttpRequestReader> reader_;
  // Received bytes that are not yet parsed.
  std::string input_;
  OutputBuffer unsent_;
  std::function<void()> on_disconnect_;
  std::function<void()> on_writable_;
  std::function<void()> on_memory_short_;
  MonotonicTime request_began_at_;
  DeliveryProgress delivery_;
  UnacknowledgedLimit unacknowledged_limit_;
  // When the connection became idle or began to linger.
  MonotonicTime idle_since_;
  // Incremented when the timer is set, so that an outdated expiry is ignored.
  unsigned timer_generation_ = 0;
  bool reading_ = false;
  bool waiting_for_reset_ = false;
  bool writing_ = false;
  bool receiving_ = false;
  bool continue_sent_ = false;
  bool answering_ = false;
  bool closing_ = false;
  bool lingering_ = false;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_HTTP_SESSION_H_
