#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_UPSTREAM_CONNECTION_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_UPSTREAM_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "libs/http_framing/http_response_reader.h"
#include "libs/http_framing/response_completion.h"
#include "libs/kernel/time.h"
#include "plugins/gateway/receiver_watch.h"
#include "plugins/gateway/socket_options.h"

namespace flamingogauge {

// How a call to an upstream failed.
enum class UpstreamFailure {
  // The connection could not be established; nothing was sent.
  kNotConnected,
  // The connection ended before the response head was complete.
  kNoResponse,
  // The received bytes are not a valid response to this request.
  kInvalidResponse,
  // The connection ended after the head, before the response was complete.
  kTruncatedResponse,
};

std::string_view ToString(UpstreamFailure failure);

// Receives the response to one call. No function is called after OnComplete or
// OnCallFailed, or after the call was cancelled.
class UpstreamResponseObserver {
 public:
  virtual ~UpstreamResponseObserver() = default;
  virtual void OnHead(const HttpResponseReader& reader) = 0;
  virtual void OnBody(std::string part) = 0;
  virtual void OnComplete() = 0;
  virtual void OnCallFailed(UpstreamFailure failure,
                            const std::string& reason) = 0;
};

// A serialized request.
struct UpstreamRequest {
  std::string bytes;
  // Identifies the matching response.
  std::string request_id;
  bool is_head = false;
};

struct UpstreamConnectionOptions {
  std::string address;
  // Name of the response header that echoes the request id.
  std::string request_id_header;
};

// A connection to an upstream; carries one call at a time.
class UpstreamConnection
    : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  // `on_idle` is called when the connection can be reused for another call.
  UpstreamConnection(
      boost::asio::io_context& context,
      UpstreamConnectionOptions options,
      std::function<void(const std::shared_ptr<UpstreamConnection>&)> on_idle);
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  // Sends a request, connecting first if necessary.
  void Send(UpstreamRequest request, UpstreamResponseObserver* observer);
  // Aborts the call in flight and closes the connection.
  void Cancel();
  // Pauses or resumes reading the response.
  void SetPaused(bool paused);

  bool is_open() const { return socket_.is_open(); }
  // The connection must not be reused from this time on.
  MonotonicTime usable_until() const { return usable_until_; }
  const std::string& address() const { return options_.address; }
  // The id of the current or last request.
  const std::string& request_id() const { return request_.request_id; }

 private:
  void Connect();
  void WriteRequest();
  // Samples the send queue until the request has been sent, as long as the peer
  // does not read it.
  void WatchReceiver();
  void WaitForInput();
  void OnReadable();
  void ProcessInput();
  bool SkipForeignResponse();
  void HandleHead();
  bool MayBeRepeated(const HttpResponseHead& head) const;
  void FinishCall();
  void OnRequestWritten(const boost::system::error_code& ec);
  void OnEndOfInput(const boost::system::error_code& ec);
  // Ends the call once it is known whether its response is whole.
  void FinishEndedCall();
  void FailCall(UpstreamFailure failure, const std::string& reason);
  void Close();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer watch_timer_;
  ReceiverWatch receiver_watch_;
  UnacknowledgedLimit unacknowledged_limit_;
  const UpstreamConnectionOptions options_;
  const std::function<void(const std::shared_ptr<UpstreamConnection>&)>
      on_idle_;
  UpstreamResponseObserver* observer_ = nullptr;
  UpstreamRequest request_;
  std::unique_ptr<HttpResponseReader> reader_;
  ResponseCompletion completion_;
  // The errors that reading and writing have ended with, if any.
  boost::system::error_code read_error_;
  boost::system::error_code write_error_;
  std::string input_;
  MonotonicTime usable_until_;
  bool connected_ = false;
  bool reading_ = false;
  bool paused_ = false;
  bool head_handled_ = false;
  bool skipping_response_ = false;
  // What preceded the response to the request.
  int skipped_responses_ = 0;
  std::size_t skipped_bytes_ = 0;
  // A response to another request was received; the connection is not reused.
  bool saw_foreign_response_ = false;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_UPSTREAM_CONNECTION_H_
