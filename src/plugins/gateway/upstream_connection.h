#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_UPSTREAM_CONNECTION_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_UPSTREAM_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

#include "libs/http_framing/http_response_reader.h"
#include "libs/kernel/time.h"

namespace flamingogauge {

// Where a call to an upstream broke.
enum class UpstreamBreak {
  // No connection was made; the upstream has seen nothing.
  kNotConnected,
  // The connection ended before the head of the answer.
  kNoAnswer,
  // Bytes that are no answer to this request.
  kSpoiled,
  // The connection ended in the middle of the answer.
  kCutShort,
};

// Receives the answer to one call. No function is called after OnComplete or
// OnBroken, or after Cancel.
class UpstreamAnswerObserver {
 public:
  virtual ~UpstreamAnswerObserver() = default;
  virtual void OnHead(const HttpResponseReader& reader) = 0;
  virtual void OnBody(std::string part) = 0;
  virtual void OnComplete() = 0;
  virtual void OnBroken(UpstreamBreak where, const std::string& reason) = 0;
};

// One call, as it is sent.
struct UpstreamRequest {
  std::string bytes;
  // The value by which the answer is recognised.
  std::string request_id;
  bool is_head = false;
};

struct UpstreamConnectionOptions {
  std::string address;
  // The name of the header that repeats the request's id.
  std::string request_id_header;
};

// A connection to an upstream; carries one call at a time.
class UpstreamConnection
    : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  // `on_idle` is called when the connection can carry another call.
  UpstreamConnection(
      boost::asio::io_context& context,
      UpstreamConnectionOptions options,
      std::function<void(const std::shared_ptr<UpstreamConnection>&)> on_idle);
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  // Sends a call; connects first when needed.
  void Send(UpstreamRequest request, UpstreamAnswerObserver* observer);
  // Ends the call in flight and the connection with it.
  void Cancel();
  // Stops and resumes the reading of the answer.
  void SetPaused(bool paused);

  bool is_open() const { return socket_.is_open(); }
  // When the connection must not be used for another call any more.
  MonotonicTime usable_until() const { return usable_until_; }
  const std::string& address() const { return options_.address; }

 private:
  void Connect();
  void WriteRequest();
  void WaitForInput();
  void OnReadable();
  void ProcessInput();
  bool SkipForeignAnswer();
  void HandleHead();
  void FinishCall();
  void OnEndOfInput(const boost::system::error_code& ec);
  void Break(UpstreamBreak where, const std::string& reason);
  void Close();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  const UpstreamConnectionOptions options_;
  const std::function<void(const std::shared_ptr<UpstreamConnection>&)>
      on_idle_;
  UpstreamAnswerObserver* observer_ = nullptr;
  UpstreamRequest request_;
  std::unique_ptr<HttpResponseReader> reader_;
  std::string input_;
  MonotonicTime usable_until_;
  bool connected_ = false;
  bool reading_ = false;
  bool paused_ = false;
  bool request_written_ = false;
  bool head_handled_ = false;
  bool skipping_ = false;
  // An answer to another request was found; the connection ends after this.
  bool saw_foreign_answer_ = false;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_UPSTREAM_CONNECTION_H_
