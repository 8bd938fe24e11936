#include "plugins/gateway/upstream_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <charconv>
#include <utility>

#include "libs/kernel/boot_clock.h"
#include "plugins/gateway/endpoint.h"
#include "plugins/gateway/read_buffer.h"
#include "plugins/gateway/socket_options.h"

namespace flamingogauge {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

// A connection to an upstream that runs takes one round trip.
constexpr milliseconds kConnectTimeLimit{400};
// How long an idle connection is kept if the upstream states no time.
constexpr milliseconds kDefaultIdleTime{4000};
// The part of the stated idle time that is used, so that the upstream does not
// close the connection while a request is on its way.
constexpr double kUsedIdlePart = 0.6;
constexpr int kFirstFinalStatus = 200;
constexpr int kFirstErrorStatus = 300;

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

}  // namespace

UpstreamConnection::UpstreamConnection(
    boost::asio::io_context& context,
    UpstreamConnectionOptions options,
    std::function<void(const std::shared_ptr<UpstreamConnection>&)> on_idle)
    : socket_(context),
      timer_(context),
      options_(std::move(options)),
      on_idle_(std::move(on_idle)) {}

void UpstreamConnection::Send(UpstreamRequest request,
                              UpstreamAnswerObserver* observer) {
  request_ = std::move(request);
  observer_ = observer;
  reader_ = std::make_unique<HttpResponseReader>(request_.is_head);
  request_written_ = false;
  head_handled_ = false;
  skipping_ = false;
  paused_ = false;
  if (connected_) {
    WriteRequest();
  } else {
    Connect();
  }
}

void UpstreamConnection::Connect() {
  const auto endpoint = ParseEndpoint<tcp::endpoint>(options_.address);
  if (!endpoint) {
    boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->Break(UpstreamBreak::kNotConnected, "the address cannot be read");
    });
    return;
  }
  timer_.expires_after(kConnectTimeLimit);
  timer_.async_wait([self = shared_from_this()](const error_code& ec) {
    if (!ec && !self->connected_) {
      self->Break(UpstreamBreak::kNotConnected, "connect timed out");
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
          self->Break(UpstreamBreak::kNotConnected, ec.message());
          return;
        }
        self->connected_ = true;
        ConfigureSocket(self->socket_, {});
        self->WriteRequest();
        self->WaitForInput();
      });
}

void UpstreamConnection::WriteRequest() {
  boost::asio::async_write(
      socket_, boost::asio::buffer(request_.bytes),
      [self = shared_from_this()](const error_code& ec, std::size_t /*n*/) {
        // A failure shows when the answer is read.
        self->request_written_ = !ec;
      });
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
  if (MustWait(ec)) {
    WaitForInput();
    return;
  }
  if (ec) {
    OnEndOfInput(ec);
    return;
  }
  if (observer_ == nullptr) {
    // Bytes that nobody asked for.
    Close();
    return;
  }
  input_ += bytes;
  ProcessInput();
  WaitForInput();
}

void UpstreamConnection::ProcessInput() {
  while (observer_ != nullptr && !input_.empty()) {
    std::string body;
    const std::size_t used = reader_->Feed(input_, body);
    input_.erase(0, used);
    if (reader_->failed()) {
      Break(head_handled_ ? UpstreamBreak::kCutShort : UpstreamBreak::kSpoiled,
            "bytes that are no answer");
      return;
    }
    if (reader_->header_complete() && !head_handled_ && !skipping_) {
      HandleHead();
    }
    if (observer_ == nullptr) {
      return;
    }
    if (skipping_) {
      if (!reader_->complete()) {
        return;
      }
      reader_ = std::make_unique<HttpResponseReader>(request_.is_head);
      skipping_ = false;
      continue;
    }
    if (!body.empty()) {
      observer_->OnBody(std::move(body));
    }
    if (observer_ != nullptr && reader_->complete()) {
      FinishCall();
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
    saw_foreign_answer_ = saw_foreign_answer_ || foreign;
    skipping_ = true;
    return;
  }
  if (id == nullptr && head.status < kFirstErrorStatus) {
    Break(UpstreamBreak::kSpoiled, "a success without the request's id");
    return;
  }
  head_handled_ = true;
  observer_->OnHead(*reader_);
}

void UpstreamConnection::FinishCall() {
  UpstreamAnswerObserver* observer = std::exchange(observer_, nullptr);
  const HttpFields& fields = reader_->head().fields;
  const bool reusable = reader_->keep_alive() && request_written_ &&
                        !saw_foreign_answer_ && input_.empty();
  const auto idle_time =
      std::chrono::duration_cast<Duration>(IdleTime(fields) * kUsedIdlePart);
  usable_until_ = BootTimeNow() + idle_time;
  request_.bytes.clear();
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
  if (ec == boost::asio::error::eof && head_handled_) {
    reader_->FinishAtEndOfFile();
    if (reader_->complete() && !reader_->failed()) {
      FinishCall();
      return;
    }
  }
  Break(head_handled_ ? UpstreamBreak::kCutShort : UpstreamBreak::kNoAnswer,
        ec.message());
}

void UpstreamConnection::Break(UpstreamBreak where, const std::string& reason) {
  UpstreamAnswerObserver* observer = std::exchange(observer_, nullptr);
  Close();
  if (observer != nullptr) {
    observer->OnBroken(where, reason);
  }
}

void UpstreamConnection::Cancel() {
  observer_ = nullptr;
  Close();
}

void UpstreamConnection::Close() {
  timer_.cancel();
  error_code ec;
  socket_.close(ec);
  connected_ = false;
}

}  // namespace flamingogauge
