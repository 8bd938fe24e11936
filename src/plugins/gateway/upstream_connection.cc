#include "plugins/gateway/upstream_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <charconv>
#include <utility>

#include "libs/fleet/endpoint.h"
#include "libs/kernel/boot_clock.h"
#include "plugins/gateway/read_buffer.h"
#include "plugins/gateway/socket_options.h"

namespace flamingogauge {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

// Connecting to a running upstream takes one round trip.
constexpr milliseconds kConnectTimeLimit{400};
// The connection is closed when sent bytes stay unacknowledged for this long.
constexpr milliseconds kUnacknowledgedLimit{2000};
// Interval at which the send queue is sampled; several times within the limit.
constexpr milliseconds kWatchInterval{400};
// Idle time that is assumed if the upstream states no timeout.
constexpr milliseconds kDefaultIdleTime{4000};
// Fraction of the idle time that is used, so that the upstream does not close
// the connection while a request is in transit.
constexpr double kUsedIdleFraction = 0.6;
// Bounds the extension of a chunk and the fields after a body, which the parser
// reads as a whole. Above the limit on a head.
constexpr std::size_t kMaxUnparsedBytes = 131072;
// Bounds what precedes the response to a request: interim responses, and late
// ones to other requests, which may be large.
constexpr int kMaxSkippedResponses = 16;
constexpr std::size_t kMaxSkippedBytes = std::size_t{4} << 20U;
constexpr int kFirstFinalStatus = 200;
constexpr int kFirstErrorStatus = 300;
constexpr int kFirstServerErrorStatus = 500;
constexpr int kServiceUnavailable = 503;

// Reads the "timeout" parameter of a Keep-Alive field.
milliseconds IdleTime(const HttpFields& fields) {
  const std::string* keep_alive = fields.Find("Keep-Alive");
  constexpr std::string_view kName = "timeout=";
  const std::size_t at =
      keep_alive == nullptr ? std::string::npos : keep_alive->find(kName);
  int seconds = 0;
  if (at == std::string::npos ||
      std::from_chars(keep_alive->data() + at + kName.size(),
                      keep_alive->data() + keep_alive->size(), seconds)
              .ec != std::errc()) {
    return kDefaultIdleTime;
  }
  return milliseconds(seconds * 1000);
}

std::string DescribeErrors(const error_code& read_error,
                           const error_code& write_error) {
  std::string text = read_error.message();
  if (write_error) {
    text += "; writing the request: " + write_error.message();
  }
  return text;
}

}  // namespace

std::string_view ToString(UpstreamFailure failure) {
  switch (failure) {
    case UpstreamFailure::kNotConnected:
      return "not connected";
    case UpstreamFailure::kNoResponse:
      return "no response";
    case UpstreamFailure::kInvalidResponse:
      return "invalid response";
    case UpstreamFailure::kTruncatedResponse:
      return "truncated response";
  }
  return "unknown";
}

UpstreamConnection::UpstreamConnection(
    boost::asio::io_context& context,
    UpstreamConnectionOptions options,
    std::function<void(const std::shared_ptr<UpstreamConnection>&)> on_idle)
    : socket_(context),
      timer_(context),
      watch_timer_(context),
      receiver_watch_(kUnacknowledgedLimit),
      unacknowledged_limit_(kUnacknowledgedLimit),
      options_(std::move(options)),
      on_idle_(std::move(on_idle)) {}

void UpstreamConnection::Send(UpstreamRequest request,
                              UpstreamResponseObserver* observer) {
  request_ = std::move(request);
  observer_ = observer;
  reader_ = std::make_unique<HttpResponseReader>(request_.is_head);
  completion_ = ResponseCompletion();
  read_error_ = {};
  write_error_ = {};
  head_handled_ = false;
  skipping_response_ = false;
  skipped_responses_ = 0;
  skipped_bytes_ = 0;
  paused_ = false;
  if (connected_) {
    WriteRequest();
    WaitForInput();
  } else {
    Connect();
  }
}

void UpstreamConnection::Connect() {
  const auto endpoint = ParseEndpoint<tcp::endpoint>(options_.address);
  if (!endpoint) {
    boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->FailCall(UpstreamFailure::kNotConnected,
                     "the address cannot be read");
    });
    return;
  }
  timer_.expires_after(kConnectTimeLimit);
  timer_.async_wait([self = shared_from_this()](const error_code& ec) {
    if (!ec && !self->connected_) {
      self->FailCall(UpstreamFailure::kNotConnected, "connect timed out");
    }
  });
  socket_.async_connect(
      *endpoint, [self = shared_from_this()](const error_code& ec) {
        self->timer_.cancel();
        if (self->observer_ == nullptr) {
          self->Close();
          return;
        }
        if (ec) {
          self->FailCall(UpstreamFailure::kNotConnected, ec.message());
          return;
        }
        self->connected_ = true;
        ConfigureSocket(self->socket_,
                        {.unacknowledged_limit = kUnacknowledgedLimit});
        self->WriteRequest();
        self->WaitForInput();
      });
}

void UpstreamConnection::WriteRequest() {
  boost::asio::async_write(
      socket_, boost::asio::buffer(request_.bytes),
      [self = shared_from_this()](const error_code& ec, std::size_t /*n*/) {
        self->OnRequestWritten(ec);
      });
  WatchReceiver();
}

void UpstreamConnection::WatchReceiver() {
  const std::optional<SendQueue> queue = ReadSendQueue(socket_);
  if (!queue || queue->unsent_bytes == 0) {
    unacknowledged_limit_.SetLifted(socket_, false);
    return;
  }
  const bool applies = receiver_watch_.LimitApplies(*queue, BootTimeNow());
  unacknowledged_limit_.SetLifted(socket_, !applies);
  watch_timer_.expires_after(kWatchInterval);
  watch_timer_.async_wait([self = shared_from_this()](const error_code& ec) {
    if (!ec && self->connected_) {
      self->WatchReceiver();
    }
  });
}

// A call does not fail with its write: an upstream may respond to a request
// without reading all of it. The end of the response shows whether it is whole.
void UpstreamConnection::OnRequestWritten(const error_code& ec) {
  // Not needed any more, and a body may be large.
  std::string().swap(request_.bytes);
  if (observer_ == nullptr) {
    return;
  }
  if (ec) {
    write_error_ = ec;
    completion_.OnRequestWriteFailed();
  } else {
    completion_.OnRequestWritten();
  }
  FinishEndedCall();
}

void UpstreamConnection::SetPaused(bool paused) {
  paused_ = paused;
  if (!paused) {
    WaitForInput();
  }
}

void UpstreamConnection::WaitForInput() {
  if (reading_ || paused_ || !socket_.is_open()) {
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

void UpstreamConnection::OnReadable() {
  if (!socket_.is_open()) {
    return;
  }
  error_code ec;
  const std::string_view bytes = ReadAvailable(socket_, ec);
  if (WouldBlock(ec)) {
    WaitForInput();
    return;
  }
  if (ec) {
    OnEndOfInput(ec);
    return;
  }
  if (observer_ == nullptr) {
    // Unsolicited bytes while the connection is idle.
    Close();
    return;
  }
  input_ += bytes;
  ProcessInput();
  if (observer_ != nullptr && input_.size() > kMaxUnparsedBytes) {
    FailCall(UpstreamFailure::kInvalidResponse, "framing without an end");
    return;
  }
  WaitForInput();
}

void UpstreamConnection::ProcessInput() {
  while (observer_ != nullptr && !input_.empty()) {
    std::string body;
    const std::size_t used = reader_->Feed(input_, body);
    input_.erase(0, used);
    if (reader_->failed()) {
      FailCall(UpstreamFailure::kInvalidResponse, "bytes that are no answer");
      return;
    }
    if (reader_->header_complete() && !head_handled_ && !skipping_response_) {
      HandleHead();
    }
    if (observer_ == nullptr) {
      return;
    }
    if (skipping_response_) {
      skipped_bytes_ += used;
      if (skipped_responses_ > kMaxSkippedResponses ||
          skipped_bytes_ > kMaxSkippedBytes) {
        FailCall(UpstreamFailure::kInvalidResponse,
                 "other responses before the response to the request");
        return;
      }
      if (!reader_->complete()) {
        return;
      }
      reader_ = std::make_unique<HttpResponseReader>(request_.is_head);
      skipping_response_ = false;
      continue;
    }
    if (!body.empty()) {
      observer_->OnBody(std::move(body));
    }
    if (observer_ != nullptr && reader_->complete()) {
      completion_.OnFramingComplete();
      FinishEndedCall();
      return;
    }
    if (used == 0) {
      return;
    }
  }
}

void UpstreamConnection::HandleHead() {
  const HttpResponseHead& head = reader_->head();
  const std::string* id = head.fields.Find(options_.request_id_header);
  const bool interim = head.status < kFirstFinalStatus;
  const bool foreign = id != nullptr && *id != request_.request_id;
  if (interim || foreign) {
    saw_foreign_response_ = saw_foreign_response_ || foreign;
    skipping_response_ = true;
    ++skipped_responses_;
    return;
  }
  if (id == nullptr && head.status < kFirstErrorStatus) {
    FailCall(UpstreamFailure::kInvalidResponse,
             "a success without the request's id");
    return;
  }
  head_handled_ = true;
  observer_->OnHead(*reader_);
}

// A faulty upstream may write a refusal once more, as the next request arrives.
// Such a request would be taken for one that has not run.
bool UpstreamConnection::MayBeRepeated(const HttpResponseHead& head) const {
  return head.status >= kFirstErrorStatus &&
         (head.status < kFirstServerErrorStatus ||
          head.status == kServiceUnavailable ||
          head.fields.Find(options_.request_id_header) == nullptr);
}

void UpstreamConnection::FinishCall() {
  UpstreamResponseObserver* observer = std::exchange(observer_, nullptr);
  const HttpFields& fields = reader_->head().fields;
  const bool reusable = reader_->keep_alive() &&
                        completion_.is_request_written() &&
                        !saw_foreign_response_ && input_.empty() &&
                        !MayBeRepeated(reader_->head());
  const auto idle_time = std::chrono::duration_cast<Duration>(
      IdleTime(fields) * kUsedIdleFraction);
  usable_until_ = BootTimeNow() + idle_time;
  // Reading may be paused for the caller of this response; the next one needs
  // it, and so does the detection of a close.
  paused_ = false;
  std::string().swap(input_);
  if (!reusable) {
    Close();
  }
  observer->OnComplete();
  if (reusable && socket_.is_open()) {
    on_idle_(shared_from_this());
  }
}

void UpstreamConnection::OnEndOfInput(const error_code& ec) {
  if (observer_ == nullptr) {
    Close();
    return;
  }
  read_error_ = ec;
  if (ec != boost::asio::error::eof) {
    completion_.OnReadFailed();
  } else {
    if (head_handled_) {
      reader_->FinishAtEndOfFile();
    }
    completion_.OnEndOfInput(head_handled_ && reader_->complete() &&
                             !reader_->failed());
  }
  FinishEndedCall();
}

void UpstreamConnection::FinishEndedCall() {
  switch (completion_.end()) {
    case ResponseEnd::kUndecided:
      return;
    case ResponseEnd::kWhole:
      FinishCall();
      return;
    case ResponseEnd::kTruncated:
      FailCall(head_handled_ ? UpstreamFailure::kTruncatedResponse
                             : UpstreamFailure::kNoResponse,
               DescribeErrors(read_error_, write_error_));
      return;
  }
}

void UpstreamConnection::FailCall(UpstreamFailure failure,
                                  const std::string& reason) {
  UpstreamResponseObserver* observer = std::exchange(observer_, nullptr);
  Close();
  if (observer != nullptr) {
    observer->OnCallFailed(failure, reason);
  }
}

void UpstreamConnection::Cancel() {
  observer_ = nullptr;
  Close();
}

void UpstreamConnection::Close() {
  timer_.cancel();
  watch_timer_.cancel();
  error_code ec;
  socket_.close(ec);
  connected_ = false;
}

}  // namespace flamingogauge
