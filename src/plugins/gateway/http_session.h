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
#include "libs/kernel/time.h"
#include "libs/routing/routing_table.h"

namespace flamingogauge {

class HttpSession;

// Receives the requests of sessions.
class HttpRequestHandler {
 public:
  virtual ~HttpRequestHandler() = default;

  // A whole request has arrived; its first byte was read at `arrived_at`. The
  // handler answers with the session's Write and Finish.
  virtual void OnRequest(const std::shared_ptr<HttpSession>& session,
                         ParsedRequest request,
                         MonotonicTime arrived_at) = 0;

  // The bounds for the next request.
  virtual CallerLimits Limits() const = 0;

  // A request was refused for its form, or did not arrive in time.
  virtual void OnRefused(int status, const std::string& reason) = 0;
};

// One connection of a caller. Reads requests one after another; the next one is
// read after the answer to the one before it is finished.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(boost::asio::ip::tcp::socket socket, HttpRequestHandler& handler);
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  void Start();

  // Queues bytes of the answer.
  void Write(std::string bytes);
  // The answer is complete. Without `keep` the connection is closed after it.
  void Finish(bool keep);
  // Closes at once; an answer that has begun stays visibly incomplete.
  void Abort();
  // Called once if the caller leaves before the answer is finished.
  void SetGoneHandler(std::function<void()> on_gone) {
    on_gone_ = std::move(on_gone);
  }
  // Called when the queue of unsent bytes has become short again.
  void SetWritableHandler(std::function<void()> on_writable) {
    on_writable_ = std::move(on_writable);
  }

  bool is_writing_slowly() const;
  bool is_answering() const { return answering_; }
  bool is_open() const { return socket_.is_open(); }
  // Closes the connection when it is idle, without cutting a request that is
  // arriving.
  void CloseIfIdle();

 private:
  void WaitForInput();
  void OnReadable();
  void ProcessInput();
  void DispatchRequest();
  void RefuseRequest(int status, const std::string& reason);
  void StartWrite();
  void OnWritten(const boost::system::error_code& ec);
  void CloseAfterWrite();
  void SetTimer(std::chrono::milliseconds delay);
  void OnTimer();
  void OnGone();
  void Close();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  HttpRequestHandler& handler_;
  CallerLimits limits_;
  std::unique_ptr<HttpRequestReader> reader_;
  // Received and not yet consumed.
  std::string input_;
  std::string unsent_;
  std::string sending_;
  std::function<void()> on_gone_;
  std::function<void()> on_writable_;
  MonotonicTime request_began_at_;
  // The timer's meaning changes with each setting of it.
  unsigned timer_setting_ = 0;
  bool reading_ = false;
  bool receiving_ = false;
  bool continue_sent_ = false;
  bool answering_ = false;
  bool closing_ = false;
  bool lingering_ = false;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_HTTP_SESSION_H_
