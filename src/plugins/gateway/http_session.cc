#include "plugins/gateway/http_session.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

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
// Limit on input that is received ahead, while a response is made or written;
// reading continues after it.
constexpr std::size_t kMaxPipelinedBytes = 65536;
// Bounds the extension of a chunk and the fields after a body, which the parser
// reads as a whole.
constexpr std::size_t kMaxUnparsedBytes = 65536;
// With fewer unsent bytes, a response that was paused goes on: soon enough that
// the upstream does not give it up because nobody reads it.
constexpr std::size_t kResumeUnsentBytes = 196608;
// How long input is still read after shutting down the sending side. Closing at
// once could reset the connection and lose the last response.
constexpr milliseconds kLingerTime{1000};
// Finds callers that are gone. Longer than for upstreams because callers may be
// on a poor link. Lifted while a caller is there and reads nothing.
constexpr milliseconds kCallerUnacknowledgedLimit{6000};
constexpr std::chrono::seconds kCallerProbeInterval{5};
// Without a byte written for this long, a host that shuts down no longer waits
// for the caller to read a response. Longer than most lost packets delay one.
constexpr milliseconds kFlushStallLimit{2000};
constexpr int kRequestTimeout = 408;
constexpr int kServiceUnavailable = 503;
constexpr char kRetryAfterMemory[] = "Retry-After: 1\r\n";

}  // namespace

HttpSession::HttpSession(tcp::socket socket,
                         HttpRequestHandler& handler,
                         std::shared_ptr<SessionPool> pool)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      handler_(handler),
      pool_(std::move(pool)),
      limits_(handler.Limits()),
      delivery_(kCallerUnacknowledgedLimit),
      unacknowledged_limit_(kCallerUnacknowledgedLimit) {}

HttpSession::~HttpSession() {
  pool_->Remove(id_);
}

void HttpSession::Start() {
  id_ = pool_->Add(weak_from_this());
  idle_since_ = BootTimeNow();
  ConfigureSocket(socket_, {.unacknowledged_limit = kCallerUnacknowledgedLimit,
                            .probe_interval = kCallerProbeInterval});
  SetTimer(limits_.idle_timeout);
  WaitForInput();
}

bool HttpSession::AcceptsNextRequest() const {
  return !answering_ && !closing_ && unsent_.empty();
}

std::size_t HttpSession::InputRoom() const {
  if (closing_ || AcceptsNextRequest()) {
    return kReadBufferBytes;
  }
  return kMaxPipelinedBytes - std::min(kMaxPipelinedBytes, input_.size());
}

void HttpSession::WaitForInput() {
  if (!socket_.is_open()) {
    return;
  }
  if (InputRoom() == 0) {
    WaitForReset();
    return;
  }
  if (reading_) {
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

void HttpSession::WaitForReset() {
  if (waiting_for_reset_) {
    return;
  }
  waiting_for_reset_ = true;
  socket_.async_wait(tcp::socket::wait_error,
                     [self = shared_from_this()](const error_code& ec) {
                       self->waiting_for_reset_ = false;
                       if (!ec) {
                         self->CheckPeer();
                       }
                     });
}

void HttpSession::OnReadable() {
  RelieveMemory();
  const std::size_t room = InputRoom();
  if (!socket_.is_open() || room == 0) {
    return;
  }
  error_code ec;
  const std::string_view bytes = ReadAvailable(socket_, ec, room);
  if (WouldBlock(ec)) {
    WaitForInput();
    return;
  }
  if (ec) {
    OnDisconnected();
    return;
  }
  if (!closing_) {
    input_ += bytes;
    ProcessInput();
    TrimInput();
    AccountHeld();
  }
  WaitForInput();
}

void HttpSession::TrimInput() {
  if (input_.empty()) {
    std::string().swap(input_);
  }
}

void HttpSession::ProcessInput() {
  if (!AcceptsNextRequest() || input_.empty()) {
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
  TrimInput();
  AccountHeld();
  SetHeld(HeldKind::kRequest, request.HeldBytes());
  handler_.OnRequest(shared_from_this(), std::move(request), request_began_at_);
}

void HttpSession::RefuseRequest(int status, const std::string& reason) {
  handler_.OnRefused(status, reason);
  receiving_ = false;
  answering_ = true;
  Write("HTTP/1.1 " + std::to_string(status) + " " +
        std::string(ReasonPhrase(status)) + "\r\n" +
        (status == kServiceUnavailable ? kRetryAfterMemory : "") +
        "Content-Length: 0\r\nConnection: close\r\n\r\n");
  Finish(false);
}

void HttpSession::Write(std::string bytes) {
  if (!socket_.is_open()) {
    return;
  }
  if (!has_unread()) {
    delivery_.OnWaiting(BootTimeNow());
  }
  pool_->WatchDelivery(id_);
  unsent_.Append(std::move(bytes));
  if (!writing_) {
    // Most responses fit into the socket's send buffer in a single write.
    Flush();
  }
  AccountHeld();
}

void HttpSession::Flush() {
  while (!unsent_.empty()) {
    error_code ec;
    const std::string_view bytes = unsent_.bytes();
    const std::size_t n =
        socket_.write_some(boost::asio::buffer(bytes.data(), bytes.size()), ec);
    if (WouldBlock(ec)) {
      WaitForWritable();
      return;
    }
    if (ec) {
      unsent_.Clear();
      boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->OnDisconnected();
      });
      return;
    }
    unsent_.Consume(n);
    delivery_.OnWritten(n, BootTimeNow());
  }
}

void HttpSession::WaitForWritable() {
  writing_ = true;
  socket_.async_wait(tcp::socket::wait_write,
                     [self = shared_from_this()](const error_code& ec) {
                       self->writing_ = false;
                       if (!ec && self->socket_.is_open()) {
                         self->OnWritable();
                       }
                     });
}

void HttpSession::OnWritable() {
  Flush();
  AccountHeld();
  if (unsent_.size() <= kResumeUnsentBytes && on_writable_) {
    const auto on_writable = on_writable_;
    on_writable();
  }
  if (!unsent_.empty() || answering_) {
    return;
  }
  if (closing_) {
    CloseAfterWrite();
    return;
  }
  if (!receiving_) {
    idle_since_ = BootTimeNow();
    SetTimer(limits_.idle_timeout);
  }
  ProcessInput();
  TrimInput();
  AccountHeld();
  WaitForInput();
}

void HttpSession::Finish(bool keep_open) {
  on_disconnect_ = nullptr;
  on_writable_ = nullptr;
  on_memory_short_ = nullptr;
  answering_ = false;
  idle_since_ = BootTimeNow();
  SetHeld(HeldKind::kRequest, 0);
  SetHeld(HeldKind::kResponse, 0);
  if (!keep_open) {
    closing_ = true;
    reader_.reset();
    input_.clear();
    TrimInput();
    AccountHeld();
    if (unsent_.empty()) {
      CloseAfterWrite();
    }
    return;
  }
  SetTimer(limits_.idle_timeout);
  // A pipelined request is handled after the current call has returned.
  boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->ProcessInput();
    self->TrimInput();
    self->AccountHeld();
    self->WaitForInput();
  });
}

void HttpSession::CloseAfterWrite() {
  if (lingering_ || !socket_.is_open()) {
    return;
  }
  lingering_ = true;
  input_.clear();
  TrimInput();
  AccountHeld();
  idle_since_ = BootTimeNow();
  error_code ec;
  socket_.shutdown(tcp::socket::shutdown_send, ec);
  SetTimer(kLingerTime);
  WaitForInput();
}

bool HttpSession::is_receiving() const {
  if (receiving_ || answering_ || closing_) {
    return receiving_ && socket_.is_open();
  }
  if (!unsent_.empty()) {
    // The next request is taken once the response before has been written.
    return false;
  }
  // Bytes that the kernel has received may be the beginning of a request.
  error_code ec;
  return !input_.empty() || socket_.available(ec) > 0;
}

bool HttpSession::is_flushing() const {
  return !answering_ && socket_.is_open() && !unsent_.empty() &&
         BootTimeNow() - last_read_at() < kFlushStallLimit;
}

void HttpSession::CloseIfIdle() {
  if (!answering_ && !is_receiving() && !closing_ && unsent_.empty()) {
    closing_ = true;
    CloseAfterWrite();
  }
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
  if (answering_ || has_unsent()) {
    return;
  }
  if (CheckDelivery(BootTimeNow())) {
    // The time that a caller may take to read is bounded by the pool.
    SetTimer(kLingerTime);
    return;
  }
  Close();
}

void HttpSession::OnDisconnected() {
  const auto on_disconnect = std::exchange(on_disconnect_, nullptr);
  Abort();
  if (on_disconnect) {
    on_disconnect();
  }
}

void HttpSession::Abort() {
  on_disconnect_ = nullptr;
  on_writable_ = nullptr;
  on_memory_short_ = nullptr;
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
  if (socket_.is_open()) {
    // What the kernel still has to send must not stay there for ever.
    unacknowledged_limit_.SetLifted(socket_, false);
  }
  error_code ec;
  socket_.close(ec);
  unsent_.Clear();
  input_.clear();
  TrimInput();
  reader_.reset();
  pool_->Remove(id_);
}

}  // namespace flamingogauge
