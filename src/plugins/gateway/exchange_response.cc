// The response side of Exchange: receives the upstream's response and relays it
// to the caller.
#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "libs/http_framing/decimal_field.h"
#include "libs/http_framing/retry_after.h"
#include "libs/kernel/boot_clock.h"
#include "plugins/gateway/exchange.h"
#include "plugins/gateway/fleet_events.h"

namespace flamingogauge {
namespace {

constexpr int kBadGateway = 502;
constexpr int kMisdirected = 421;
constexpr int kServiceUnavailable = 503;
constexpr char kRetryAfter[] = "Retry-After";
constexpr int kFirstErrorStatus = 300;
constexpr int kFirstServerErrorStatus = 500;
// Up to this size, a response that is not a stream is buffered until it is
// complete, so that a truncated one can be replaced by that of a resend.
constexpr std::size_t kMaxBufferedBytes = 262144;

// A request that crashes its upstream does so as it begins to write. One whose
// response is written for this long is not to blame for a later crash.
constexpr std::chrono::milliseconds kSoundWritingTime{300};

// The body of a response that is not passed on is read up to this size, so that
// its connection can be used again.
constexpr std::size_t kMaxDiscardedBytes = 262144;

// An incomplete event of a resumable stream is held back in memory.
constexpr std::size_t kMaxEventBytes = 1U << 20U;

std::size_t CountEvents(std::string_view part) {
  std::size_t count = 0;
  for (std::size_t at = part.find("\n\n"); at != std::string_view::npos;
       at = part.find("\n\n", at + 2)) {
    ++count;
  }
  return count;
}

}  // namespace

bool Exchange::IsStream() const {
  return accepted_.route->execution_semantics == ExecutionSemantics::kStream;
}

void Exchange::OnHead(const HttpResponseReader& reader) {
  const HttpResponseHead& head = reader.head();
  const RelayHeaderNames& names = context_.settings.headers;
  not_executed_ =
      head.fields.Count(names.not_executed) > 0 || head.status == kMisdirected;
  head_received_ = true;
  if (head.fields.Count(names.leaving) > 0) {
    OnUpstreamLeaving();
  }
  if (head.status != kMisdirected) {
    OnRateLimit(head.fields);
  }
  if (head.status == kServiceUnavailable) {
    OnTurnedAway(head.fields);
  }
  content_length_ = reader.content_length();
  has_body_ = reader.has_body();
  const bool is_success =
      head.status < kFirstErrorStatus && head.fields.Count(names.seal) > 0;
  failed_continuation_ = head_committed_ && IsStream() && !is_success;
  if (head_committed_) {
    // The caller already has the head of the stream's first upstream.
    head_.status = head.status;
  } else {
    head_ = head;
  }
}

void Exchange::OnRateLimit(const HttpFields& fields) {
  const std::string* field = fields.Find(context_.settings.headers.rate_limit);
  const std::optional<double> limit =
      field != nullptr ? ParseDecimalField(*field) : std::nullopt;
  if (field != nullptr && !limit) {
    return;
  }
  if (!context_.placer.OnRateLimit(upstream_.id,
                                   {.requests_per_second = limit,
                                    .request_sent_at = sent_at_,
                                    .stated_at = BootTimeNow()})) {
    return;
  }
  context_.log.Write(
      RateLimitEvent(limit, upstream_).Text("request", accepted_.request_id));
}

void Exchange::OnTurnedAway(const HttpFields& fields) {
  const std::string* field = fields.Find(kRetryAfter);
  const std::optional<std::chrono::milliseconds> pause =
      field != nullptr ? ParseRetryAfter(*field) : std::nullopt;
  if (!pause) {
    return;
  }
  context_.placer.OnRetryAfter(upstream_.id, *pause, BootTimeNow());
  context_.log.Write(EventLine("upstream.held_back")
                         .Text("upstream", upstream_.id)
                         .Text("request", accepted_.request_id)
                         .Milliseconds("for_ms", *pause));
}

void Exchange::OnBody(std::string part) {
  if (not_executed_ || failed_continuation_) {
    Discard(part.size());
    return;
  }
  TakeBody(std::move(part));
  AccountResponse();
  // Last, because it may end this exchange.
  session_->RelieveMemory();
}

void Exchange::Discard(std::size_t bytes) {
  discarded_bytes_ += bytes;
  if (discarded_bytes_ <= kMaxDiscardedBytes) {
    return;
  }
  // The head tells all that matters.
  connection_->Cancel();
  OnComplete();
}

void Exchange::AccountResponse() {
  if (state_ == State::kDone) {
    return;
  }
  session_->SetHeld(HeldKind::kResponse,
                    buffered_body_.size() + splitter_.partial_size());
}

void Exchange::TakeBody(std::string part) {
  const MonotonicTime now = BootTimeNow();
  if (IsStream() && head_.status < kFirstErrorStatus) {
    RecordEvents(part, now);
    RelayStreamPart(std::move(part));
    return;
  }
  if (head_committed_) {
    WriteBody(std::move(part));
    return;
  }
  buffered_body_ += part;
  if (buffered_body_.size() > kMaxBufferedBytes) {
    CommitHead(content_length_);
    WriteBody(std::exchange(buffered_body_, {}));
  }
}

void Exchange::RecordEvents(const std::string& part, MonotonicTime now) {
  events_ += CountEvents(part);
  if (first_body_at_ == MonotonicTime()) {
    first_body_at_ = now;
    last_body_at_ = now;
    context_.placer.OnFirstEvent(upstream_.id, now - sent_at_,
                                 accepted_.prompt_tokens, now);
  }
  longest_gap_ = std::max(longest_gap_, now - last_body_at_);
  last_body_at_ = now;
  if (now - first_body_at_ >= kSoundWritingTime) {
    RecordSound(first_body_at_, now);
  }
}

void Exchange::RelayStreamPart(std::string part) {
  boundary_.Feed(part);
  std::string ready =
      accepted_.route->resumable ? splitter_.Feed(part) : std::move(part);
  if (splitter_.partial_size() > kMaxEventBytes) {
    connection_->Cancel();
    connection_.reset();
    OnBrokenOff("an event without an end");
    return;
  }
  if (ready.empty()) {
    return;
  }
  if (!head_committed_) {
    CommitHead(accepted_.route->resumable ? std::nullopt : content_length_);
  }
  WriteBody(std::move(ready));
}

void Exchange::CommitHead(std::optional<std::uint64_t> length) {
  head_committed_ = true;
  const bool is_http_1_0_caller = accepted_.request.is_http_1_0;
  chunked_ = !length && has_body_ && !is_http_1_0_caller;
  body_until_close_ = !length && has_body_ && is_http_1_0_caller;
  HttpFields fields = head_.fields;
  fields.RemoveHopByHop();
  std::string bytes =
      "HTTP/1.1 " + std::to_string(head_.status) + " " + head_.reason + "\r\n";
  for (const HttpField& it : fields.all()) {
    AppendField(it.name, it.value, bytes);
  }
  if (length) {
    AppendField("Content-Length", std::to_string(*length), bytes);
  } else if (chunked_) {
    AppendField("Transfer-Encoding", "chunked", bytes);
  }
  if (!KeepsConnection()) {
    AppendField("Connection", "close", bytes);
  } else if (is_http_1_0_caller) {
    AppendField("Connection", "keep-alive", bytes);
  }
  bytes += "\r\n";
  session_->Write(std::move(bytes));
}

bool Exchange::KeepsConnection() const {
  return accepted_.request.keep_alive && !context_.is_draining() &&
         !body_until_close_;
}

void Exchange::WriteBody(std::string part) {
  if (chunked_) {
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
    part.insert(0, size.data());
    part += "\r\n";
  }
  session_->Write(std::move(part));
  if (session_->has_write_backlog() && connection_) {
    connection_->SetPaused(true);
    session_->SetWritableHandler([weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && self->connection_) {
        self->connection_->SetPaused(false);
      }
    });
  }
}

void Exchange::OnComplete() {
  connection_.reset();
  if (not_executed_) {
    OnNotExecuted();
    return;
  }
  if (failed_continuation_) {
    OnContinuationFailed();
    return;
  }
  const bool is_cut_stream = IsStream() && head_.status < kFirstErrorStatus &&
                             boundary_.is_within_event();
  if (is_cut_stream) {
    OnBrokenOff("the stream ended within an event");
    return;
  }
  const MonotonicTime now = BootTimeNow();
  const bool failed = head_.status >= kFirstServerErrorStatus;
  if (IsStream() && !failed) {
    ReportPace(now);
  } else if (!failed) {
    context_.placer.OnEventInterval(upstream_.id, now - sent_at_, now);
    context_.placer.OnFirstEvent(upstream_.id, now - sent_at_,
                                 accepted_.prompt_tokens, now);
  }
  if (head_.status < kFirstErrorStatus) {
    RecordSound(first_body_at_ == MonotonicTime() ? now : first_body_at_, now);
  }
  EndDispatch(failed ? DispatchResult::kFailed : DispatchResult::kServed);
  if (failed && ResendIfAllowed(true, "the upstream answered " +
                                          std::to_string(head_.status))) {
    return;
  }
  if (head_.status < kFirstErrorStatus &&
      head_.fields.Count(context_.settings.headers.seal) == 0) {
    FailAfterSend(kBadGateway, "a success without the upstream's seal");
    return;
  }
  if (!head_committed_) {
    CommitBufferedResponse();
  }
  if (chunked_) {
    session_->Write("0\r\n\r\n");
  }
  const bool keep_open = KeepsConnection();
  auto session = session_;
  Complete(kOutcomeAnswered, head_.status, "");
  session->Finish(keep_open);
}

// Nothing of such a response belongs to the stream that the caller receives.
void Exchange::OnContinuationFailed() {
  EndDispatch(head_.status >= kFirstServerErrorStatus
                  ? DispatchResult::kFailed
                  : DispatchResult::kServed);
  ResendOrFail("the stream did not go on: the upstream answered " +
               std::to_string(head_.status));
}

void Exchange::CommitBufferedResponse() {
  std::optional<std::uint64_t> length = buffered_body_.size();
  if (!has_body_) {
    // The response to HEAD states the length of the omitted body.
    length = content_length_;
  }
  CommitHead(length);
  if (!buffered_body_.empty()) {
    session_->Write(std::move(buffered_body_));
  }
}

void Exchange::ReportPace(MonotonicTime now) {
  if (events_ > 1) {
    context_.placer.OnEventInterval(
        upstream_.id,
        std::chrono::duration<double>(now - first_body_at_) /
            static_cast<double>(events_ - 1),
        now);
  }
}

}  // namespace flamingogauge
