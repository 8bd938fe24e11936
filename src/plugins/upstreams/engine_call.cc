#include "plugins/upstreams/engine_call.h"

#include <algorithm>
#include <utility>

namespace flamingogauge {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kFirstServerError = 500;
// An error's body is only quoted in the message.
constexpr std::size_t kMaxErrorBody = 512;
constexpr std::chrono::milliseconds kMaxBackoff{1000};
// How long the end of the transfer may take after [DONE], so that its
// connection can be used again.
constexpr std::chrono::milliseconds kDrainTime{1000};

}  // namespace

EngineCall::EngineCall(CallHost& host,
                       UpstreamCall call,
                       std::shared_ptr<UpstreamCallObserver> observer)
    : UpstreamCallBase(host, std::move(call), std::move(observer)) {}

EngineCall::~EngineCall() {
  CollectAssemblerCounts();
  if (backoff_timer_) {
    host_.loop().Unschedule(*backoff_timer_);
  }
}

bool EngineCall::OnBeforeSend() {
  if (resuming_) {
    // A resume is a read and may be repeated.
    NoteActivity();
    state_ = State::kWaiting;
    ArmTimer();
    return true;
  }
  if (!UpstreamCallBase::OnBeforeSend()) {
    return false;
  }
  state_ = State::kWaiting;
  ArmTimer();
  return true;
}

void EngineCall::OnHead(int status, std::vector<HttpHeader> headers) {
  NoteActivity();
  status_ = status;
  head_seen_ = true;
  refused_ = !resuming_ && IsRefusal(status, headers);
  if (status != kOk || ended_) {
    return;
  }
  if (!head_reported_) {
    head_reported_ = true;
    observer_->OnHead(status, std::move(headers));
  }
}

bool EngineCall::OnBody(std::string_view bytes) {
  if (ended_) {
    return true;
  }
  NoteActivity();
  if (status_ != kOk) {
    return OnErrorBody(bytes);
  }
  std::vector<SseEvent> events;
  if (!parser_.Feed(bytes, events)) {
    last_break_ = "an event is larger than 1 MB";
    return false;
  }
  for (SseEvent& it : events) {
    std::vector<std::string> ready;
    const auto verdict = assembler_.Accept(std::move(it), ready);
    if (!ready.empty() && !any_event_) {
      any_event_ = true;
      if (transfer_->BodySent()) {
        // The prompt is not needed any more; a resume sends only the offset.
        std::string().swap(call_.body);
      }
    }
    for (std::string& data : ready) {
      observer_->OnData(std::move(data));
    }
    if (verdict == StreamAssembler::Verdict::kBroken) {
      last_break_ = "the stream has a gap that was not filled";
      return false;
    }
    if (verdict == StreamAssembler::Verdict::kDone) {
      state_ = State::kDraining;
      Complete();
      ArmTimer();
      return true;
    }
  }
  if (state_ != State::kStreaming) {
    state_ = State::kStreaming;
    ArmTimer();
  }
  if (paused_) {
    transfer_->SetPaused(true);
  }
  return true;
}

bool EngineCall::OnErrorBody(std::string_view bytes) {
  if (error_body_.size() < kMaxErrorBody) {
    error_body_.append(bytes.substr(0, kMaxErrorBody - error_body_.size()));
  }
  return error_body_.size() < kMaxErrorBody;
}

void EngineCall::OnFinished(TransferEnd end, const std::string& message) {
  if (ended_) {
    host_.OnCallEnded(call_.id);
    return;
  }
  if (!sent_) {
    Fail(ErrorCode::kUnavailable, message);
    return;
  }
  if (resuming_ && end == TransferEnd::kConnectionRefused) {
    engine_gone_ = true;
    Fail(ErrorCode::kPeerCrashed,
         "the engine ended during the call (" + last_break_ + ")");
    return;
  }
  if (head_seen_ && status_ != kOk) {
    HandleBadStatus();
    return;
  }
  if (last_break_.empty() || end != TransferEnd::kStopped) {
    last_break_ = end == TransferEnd::kComplete
                      ? "the answer ended without [DONE]"
                      : message;
  }
  HandleBreak(last_break_);
}

void EngineCall::HandleBadStatus() {
  const std::string message =
      "status " + std::to_string(status_) + ": " + error_body_;
  if (refused_) {
    FailNotExecuted(message);
  } else if (resuming_ && status_ >= kFirstServerError) {
    HandleBreak(message);
  } else if (resuming_ && status_ == kNotFound) {
    engine_gone_ = true;
    Fail(ErrorCode::kUnavailable,
         "the engine does not know the stream any more (" + last_break_ + ")");
  } else {
    Fail(status_ < kFirstServerError ? ErrorCode::kInvalidArgument
                                     : ErrorCode::kUnavailable,
         message);
  }
}

// Plans a resume, or fails the call when there were enough of them.
void EngineCall::HandleBreak(const std::string& message) {
  last_break_ = message;
  const UpstreamsSettings& settings = host_.settings();
  if (resumes_ >= settings.max_resumes) {
    Fail(ErrorCode::kUnavailable, "the stream broke after " +
                                      std::to_string(resumes_) +
                                      " resumes: " + message);
    return;
  }
  DropTransfer();
  state_ = State::kBackoff;
  const auto longest =
      std::min(kMaxBackoff, settings.resume_backoff * (1 << resumes_));
  ++resumes_;
  const auto wait = longest * (0.5 + 0.5 * host_.random().NextDouble());
  const auto now = std::chrono::steady_clock::now();
  backoff_timer_ = host_.loop().Schedule(
      now + std::chrono::duration_cast<Duration>(wait), [this] { Resume(); });
}

void EngineCall::Resume() {
  backoff_timer_.reset();
  ++host_.counters().resumes;
  resuming_ = true;
  head_seen_ = false;
  status_ = 0;
  error_body_.clear();
  parser_ = SseParser();
  assembler_.BeginConnection();
  state_ = State::kConnecting;
  NoteActivity();
  StartTransfer({.method = "GET",
                 .address = call_.address,
                 .path = "/v1/streams/" + wire_id_ +
                         "?offset=" + std::to_string(assembler_.next_offset()),
                 .headers = {{"X-Request-Id", wire_id_}},
                 .connect_time_limit = call_.connect_time_limit,
                 .fresh_connection = true});
  ArmTimer();
}

MonotonicTime EngineCall::SilenceDeadline() const {
  if (ended_) {
    return last_activity_ + kDrainTime;
  }
  if (state_ == State::kConnecting || state_ == State::kBackoff) {
    return MonotonicTime::max();
  }
  if (any_event_) {
    return last_activity_ + call_.gap_time_limit;
  }
  const MonotonicTime first_byte = sent_at_ + call_.first_byte_time_limit;
  if (head_seen_) {
    return first_byte;
  }
  // The first attempt and the resumes share the time to the first event, for
  // engines that send the head together with it.
  const auto share =
      call_.first_byte_time_limit / (host_.settings().max_resumes + 1);
  return std::min(first_byte,
                  last_activity_ + std::max(call_.gap_time_limit, share));
}

void EngineCall::OnSilent() {
  if (ended_) {
    DropTransfer();
    host_.OnCallEnded(call_.id);
    return;
  }
  host_.OnSilence(call_.address);
  const auto now = std::chrono::steady_clock::now();
  if (!any_event_ && now >= sent_at_ + call_.first_byte_time_limit) {
    Fail(ErrorCode::kTimeout, "no event came within the time limit");
    return;
  }
  HandleBreak("the connection was silent");
}

void EngineCall::OnFailedAfterSending(const Error& /*error*/) {
  DropTransfer();
  if (!engine_gone_) {
    host_.CancelAtEngine(call_.address, wire_id_, !head_reported_);
  }
}

void EngineCall::CollectAssemblerCounts() {
  host_.counters().duplicates_dropped += assembler_.duplicates();
  host_.counters().reordered += assembler_.reordered();
}

const char* EngineCall::StepName() const {
  switch (state_) {
    case State::kConnecting:
      return resuming_ ? "connect to resume" : "connect";
    case State::kWaiting:
      return resuming_ ? "wait for the resumed stream" : "wait for the answer";
    case State::kStreaming:
      return "receive the stream";
    case State::kBackoff:
      return "wait to resume";
    case State::kDraining:
      return "end the transfer";
  }
  return "";
}

}  // namespace flamingogauge
