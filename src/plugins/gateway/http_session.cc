#include "plugins/gateway/http_session.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

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

// Input behind a request that is being answered; more is read after it.
constexpr std::size_t kMaxPipelinedBytes = 65536;
// Unsent bytes above which no more of an answer is read from the upstream.
constexpr std::size_t kMaxUnsentBytes = 262144;
// How long a closed connection still reads, so that the last answer is not
// lost by a reset.
constexpr milliseconds kLingerTime{1000};
// Callers on a poor link are given longer than upstreams.
constexpr milliseconds kCallerSilence{6000};
constexpr std::chrono::seconds kCallerProbeInterval{5};
constexpr int kRequestTimeout = 408;

}  // namespace

HttpSession::HttpSession(tcp::socket socket, HttpRequestHandler& handler)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      handler_(handler),
      limits_(handler.Limits()) {}

void HttpSession::Start() {
  ConfigureSocket(socket_, {.unacknowledged_limit = kCallerSilence,
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
  if (MustWait(ec)) {
    WaitForInput();
    return;
  }
  if (ec) {
    OnGone();
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
  ++timer_setting_;
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
  // Most answers fit into the socket's buffer at once.
  error_code ec;
  const std::size_t n = socket_.write_some(boost::asio::buffer(sending_), ec);
  if (!ec && n == sending_.size()) {
    OnWritten(ec);
    return;
  }
  if (ec && !MustWait(ec)) {
    boost::asio::post(socket_.get_executor(),
                      [self = shared_from_this()] { self->OnGone(); });
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
    OnGone();
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

void HttpSession::Finish(bool keep) {
  on_gone_ = nullptr;
  on_writable_ = nullptr;
  answering_ = false;
  if (!keep) {
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

void HttpSession::CloseIfIdle() {
  if (!answering_ && !receiving_ && !closing_) {
    closing_ = true;
    CloseAfterWrite();
  }
}

bool HttpSession::is_writing_slowly() const {
  return sending_.size() + unsent_.size() > kMaxUnsentBytes;
}

void HttpSession::SetTimer(milliseconds delay) {
  const unsigned setting = ++timer_setting_;
  timer_.expires_after(delay);
  timer_.async_wait([self = shared_from_this(), setting](const error_code& ec) {
    if (!ec && setting == self->timer_setting_) {
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

void HttpSession::OnGone() {
  const auto on_gone = std::exchange(on_gone_, nullptr);
  on_writable_ = nullptr;
  Close();
  if (on_gone) {
    on_gone();
  }
}

void HttpSession::Abort() {
  on_gone_ = nullptr;
  on_writable_ = nullptr;
  Close();
}

void HttpSession::Close() {
  ++timer_setting_;
  timer_.cancel();
  closing_ = true;
  error_code ec;
  socket_.close(ec);
}

}  // namespace flamingogauge
