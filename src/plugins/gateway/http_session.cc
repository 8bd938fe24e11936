#include "plugins/gateway/http_session.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

#include "libs/http_framing/reason_phrase.h"
#include "libs/kernel/boot_clock.h"
#include "plugins/gateway/read_buffer.h"
#include "plugins/gateway/socket_options.h"

namespace flamingogauge {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

constexpr int kBadRequest = 400;
// Limit on buffered input while a request is being answered; reading continues
// after the response.
constexpr std::size_t kMaxPipelinedBytes = 65536;
// Bounds the extension of a chunk and the fields after a body, which the parser
// reads as a whole.
constexpr std::size_t kMaxUnparsedBytes = 65536;
// With more unsent bytes than this, reading the upstream's response is paused.
constexpr std::size_t kMaxUnsentBytes = 262144;
// How long input is still read after shutting down the sending side. Closing at
// once could reset the connection and lose the last response.
constexpr milliseconds kLingerTime{1000};
// Longer than for upstreams because callers may be on a poor link.
constexpr milliseconds kCallerUnacknowledgedLimit{6000};
constexpr std::chrono::seconds kCallerProbeInterval{5};
constexpr int kRequestTimeout = 408;

}  // namespace

HttpSession::HttpSession(tcp::socket socket, HttpRequestHandler& handler)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      handler_(handler),
      limits_(handler.Limits()) {}

void HttpSession::Start() {
  ConfigureSocket(socket_, {.unacknowledged_limit = kCallerUnacknowledgedLimit,
                            .probe_interval = kCallerProbeInterval});
  SetTimer(limits_.idle_timeout);
  WaitForInput();
}

void HttpSession::WaitForInput() {
  if (reading_ || !socket_.is_open() ||
      (answering_ && input_.size() >= kMaxPipelinedBytes)) {
    return;
  }
  reading_ = true;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code& ec) {
                       self->reading_ = false;
                       if (!ec) {
                         self->OnReadable();
                       }
                     });
}

void HttpSession::OnReadable() {
  error_code ec;
  const std::string_view bytes = ReadAvailable(socket_, ec);
  if (WouldBlock(ec)) {
    WaitForInput();
    return;
  }
  if (ec) {
    OnDisconnected();
    return;
  }
  if (!lingering_) {
    input_ += bytes;
    ProcessInput();
  }
  WaitForInput();
}

void HttpSession::ProcessInput() {
  if (answering_ || closing_ || input_.empty()) {
    return;
  }
  if (!receiving_) {
    receiving_ = true;
    continue_sent_ = false;
    limits_ = handler_.Limits();
    reader_ = std::make_unique<HttpRequestReader>(
        HttpRequestReaderOptions{.max_header_bytes = limits_.max_header_bytes,
                                 .max_body_bytes = limits_.max_body_bytes});
    request_began_at_ = BootTimeNow();
    SetTimer(limits_.header_timeout);
  }
  const bool header_was_complete = reader_->header_complete();
  input_.erase(0, reader_->Feed(input_));
  if (reader_->refusal_status() != 0) {
    RefuseRequest(reader_->refusal_status(), reader_->refusal_reason());
    return;
  }
  if (reader_->complete()) {
    DispatchRequest();
    return;
  }
  if (input_.size() > std::max(limits_.max_header_bytes, kMaxUnparsedBytes)) {
    RefuseRequest(kBadRequest, "framing without an end");
    return;
  }
  if (reader_->header_complete()) {
    if (!header_was_complete) {
      SetTimer(limits_.idle_timeout);
    }
    if (reader_->expects_continue() && !continue_sent_) {
      continue_sent_ = true;
      Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }
}

void HttpSession::DispatchRequest() {
  timer_.cancel();
  ++timer_generation_;
  receiving_ = false;
  answering_ = true;
  ParsedRequest request = reader_->Take();
  reader_.reset();
  handler_.OnRequest(shared_from_this(), std::move(request), request_began_at_);
}

void HttpSession::RefuseRequest(int status, const std::string& reason) {
  handler_.OnRefused(status, reason);
  Write("HTTP/1.1 " + std::to_string(status) + " " +
        std::string(ReasonPhrase(status)) +
        "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  receiving_ = false;
  answering_ = true;
  Finish(false);
}

void HttpSession::Write(std::string bytes) {
  if (unsent_.empty()) {
    unsent_ = std::move(bytes);
  } else {
    unsent_ += bytes;
  }
  StartWrite();
}

void HttpSession::StartWrite() {
  if (!sending_.empty() || unsent_.empty() || !socket_.is_open()) {
    return;
  }
  sending_.swap(unsent_);
  // Most responses fit into the socket's send buffer in a single write.
  error_code ec;
  const std::size_t n = socket_.write_some(boost::asio::buffer(sending_), ec);
  if (!ec && n == sending_.size()) {
    OnWritten(ec);
    return;
  }
  if (ec && !WouldBlock(ec)) {
    boost::asio::post(socket_.get_executor(),
                      [self = shared_from_this()] { self->OnDisconnected(); });
    return;
  }
  sending_.erase(0, n);
  boost::asio::async_write(socket_, boost::asio::buffer(sending_),
                           [self = shared_from_this()](
                               const error_code& write_ec, std::size_t /*n*/) {
                             self->OnWritten(write_ec);
                           });
}

void HttpSession::OnWritten(const error_code& ec) {
  sending_.clear();
  if (ec) {
    OnDisconnected();
    return;
  }
  StartWrite();
  if (sending_.empty() && unsent_.empty()) {
    if (closing_) {
      CloseAfterWrite();
    } else if (on_writable_) {
      const auto on_writable = on_writable_;
      on_writable();
    }
  }
}

void HttpSession::Finish(bool keep_open) {
  on_disconnect_ = nullptr;
  on_writable_ = nullptr;
  answering_ = false;
  if (!keep_open) {
    closing_ = true;
    if (sending_.empty() && unsent_.empty()) {
      CloseAfterWrite();
    }
    return;
  }
  SetTimer(limits_.idle_timeout);
  // A pipelined request is handled after the current call has returned.
  boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->ProcessInput();
    self->WaitForInput();
  });
}

void HttpSession::CloseAfterWrite() {
  if (lingering_ || !socket_.is_open()) {
    return;
  }
  lingering_ = true;
  input_.clear();
  error_code ec;
  socket_.shutdown(tcp::socket::shutdown_send, ec);
  SetTimer(kLingerTime);
  WaitForInput();
}

bool HttpSession::is_receiving() const {
  if (receiving_ || answering_ || closing_) {
    return receiving_ && socket_.is_open();
  }
  // Bytes that the kernel has received may be the beginning of a request.
  error_code ec;
  return !input_.empty() || socket_.available(ec) > 0;
}

bool HttpSession::is_flushing() const {
  return !answering_ && socket_.is_open() &&
         (!sending_.empty() || !unsent_.empty());
}

void HttpSession::CloseIfIdle() {
  if (!answering_ && !is_receiving() && !closing_) {
    closing_ = true;
    CloseAfterWrite();
  }
}

bool HttpSession::has_write_backlog() const {
  return sending_.size() + unsent_.size() > kMaxUnsentBytes;
}

void HttpSession::SetTimer(milliseconds delay) {
  const unsigned generation = ++timer_generation_;
  timer_.expires_after(delay);
  timer_.async_wait(
      [self = shared_from_this(), generation](const error_code& ec) {
        if (!ec && generation == self->timer_generation_) {
          self->OnTimer();
        }
      });
}

void HttpSession::OnTimer() {
  if (receiving_ && !closing_) {
    RefuseRequest(kRequestTimeout, "the request did not arrive in time");
    return;
  }
  if (!answering_) {
    Close();
  }
}

void HttpSession::OnDisconnected() {
  const auto on_disconnect = std::exchange(on_disconnect_, nullptr);
  on_writable_ = nullptr;
  Close();
  if (on_disconnect) {
    on_disconnect();
  }
}

void HttpSession::Abort() {
  on_disconnect_ = nullptr;
  on_writable_ = nullptr;
  Close();
}

void HttpSession::AbortWithReset() {
  error_code ec;
  socket_.set_option(boost::asio::socket_base::linger(true, 0), ec);
  Abort();
}

void HttpSession::Close() {
  ++timer_generation_;
  timer_.cancel();
  closing_ = true;
  error_code ec;
  socket_.close(ec);
}

}  // namespace flamingogauge
