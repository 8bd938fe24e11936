#include "plugins/upstreams/engine_call.h"

#include <algorithm>
#include <utility>

namespace flamingogauge {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kFirstServerError = 500;
// Limit of the part of an error body that is quoted in the error message.
constexpr std::size_t kMaxErrorBody = 512;
constexpr std::chrono::milliseconds kMaxBackoff{1000};
// Time allowed after [DONE] for the transfer to finish, so that its connection
// can be reused.
constexpr std::chrono::milliseconds kDrainTime{1000};

}  // namespace

EngineCall::EngineCall(CallContext& context,
                       UpstreamCall call,
                       std::shared_ptr<UpstreamCallObserver> observer)
    : UpstreamCallBase(context, std::move(call), std::move(observer)) {}

EngineCall::~EngineCall() {
  CollectAssemblerCounts();
  if (backoff_timer_) {
    context_.loop().Unschedule(*backoff_timer_);
  }
}

bool EngineCall::OnBeforeSend() {
  if (resuming_) {
    // A resume only reads the stream, so libcurl may retry it.
    RecordActivity();
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
  RecordActivity();
  status_ = status;
  head_received_ = true;
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
  RecordActivity();
  if (status_ != kOk) {
    return OnErrorBody(bytes);
  }
  std::vector<SseEvent> events;
  if (!parser_.Feed(bytes, events)) {
    last_failure_ = "a server-sent event is larger than 1 MiB";
    return false;
  }
  for (SseEvent& it : events) {
    std::vector<std::string> ready;
    const auto stream_state = assembler_.Accept(std::move(it), ready);
    if (!ready.empty() && !event_received_) {
      event_received_ = true;
      if (transfer_->BodySent()) {
        // The request body is no longer needed; a resume sends only the offset.
        std::string().swap(call_.body);
      }
    }
    for (std::string& data : ready) {
      observer_->OnData(std::move(data));
    }
    if (stream_state == StreamAssembler::StreamState::kBroken) {
      last_failure_ = "events are missing from the stream or contradict [DONE]";
      return false;
    }
    if (stream_state == StreamAssembler::StreamState::kDone) {
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
    context_.OnCallEnded(call_.id);
    return;
  }
  if (!sent_) {
    Fail(ErrorCode::kUnavailable, message);
    return;
  }
  if (resuming_ && end == TransferEnd::kConnectionRefused) {
    stream_lost_ = true;
    Fail(
        ErrorCode::kPeerCrashed,
        "the engine stopped listening during the call (" + last_failure_ + ")");
    return;
  }
  if (head_received_ && status_ != kOk) {
    HandleBadStatus();
    return;
  }
  if (last_failure_.empty() || end != TransferEnd::kStopped) {
    last_failure_ = end == TransferEnd::kComplete
                        ? "the response ended without [DONE]"
                        : message;
  }
  ResumeOrFail(last_failure_);
}

void EngineCall::HandleBadStatus() {
  const std::string message =
      "status " + std::to_string(status_) + ": " + error_body_;
  if (refused_) {
    FailNotExecuted(message);
  } else if (resuming_ && status_ >= kFirstServerError) {
    ResumeOrFail(message);
  } else if (resuming_ && status_ == kNotFound) {
    stream_lost_ = true;
    Fail(ErrorCode::kUnavailable,
         "the engine no longer knows the stream (" + last_failure_ + ")");
  } else {
    Fail(status_ < kFirstServerError ? ErrorCode::kInvalidArgument
                                     : ErrorCode::kUnavailable,
         message);
  }
}

// Schedules a resume, or fails the call when the limit of resumes is reached.
void EngineCall::ResumeOrFail(const std::string& message) {
  last_failure_ = message;
  const UpstreamsSettings& settings = context_.settings();
  if (resumes_ >= settings.max_resumes) {
    Fail(ErrorCode::kUnavailable, "the stream was interrupted after " +
                                      std::to_string(resumes_) +
                                      " resumes: " + message);
    return;
  }
  AbortTransfer();
  state_ = State::kBackoff;
  const auto longest =
      std::min(kMaxBackoff, settings.resume_backoff * (1 << resumes_));
  ++resumes_;
  const auto wait = longest * (0.5 + 0.5 * context_.random().NextDouble());
  const auto now = std::chrono::steady_clock::now();
  backoff_timer_ = context_.loop().Schedule(
      now + std::chrono::duration_cast<Duration>(wait), [this] { Resume(); });
}

void EngineCall::Resume() {
  backoff_timer_.reset();
  ++context_.counters().resumes;
  resuming_ = true;
  head_received_ = false;
  status_ = 0;
  error_body_.clear();
  parser_ = SseParser();
  assembler_.BeginConnection();
  state_ = State::kConnecting;
  RecordActivity();
  StartTransfer({.method = "GET",
                 .address = call_.address,
                 .path = "/v1/streams/" + request_id_ +
                         "?offset=" + std::to_string(assembler_.next_offset()),
                 .headers = {{"X-Request-Id", request_id_}},
                 .connect_time_limit = call_.connect_time_limit,
                 .fresh_connection = true});
  ArmTimer();
}

MonotonicTime EngineCall::InactivityDeadline() const {
  if (ended_) {
    return last_activity_ + kDrainTime;
  }
  if (state_ == State::kConnecting || state_ == State::kBackoff) {
    return MonotonicTime::max();
  }
  if (event_received_) {
    return last_activity_ + call_.gap_time_limit;
  }
  const MonotonicTime first_byte = sent_at_ + call_.first_byte_time_limit;
  if (head_received_) {
    return first_byte;
  }
  // The first attempt and the resumes share the time limit of the first event,
  // for engines that send the response head together with that event.
  const auto share =
      call_.first_byte_time_limit / (context_.settings().max_resumes + 1);
  return std::min(first_byte,
                  last_activity_ + std::max(call_.gap_time_limit, share));
}

void EngineCall::OnInactivityTimeout() {
  if (ended_) {
    AbortTransfer();
    context_.OnCallEnded(call_.id);
    return;
  }
  context_.OnInactivity(call_.address);
  const auto now = std::chrono::steady_clock::now();
  if (!event_received_ && now >= sent_at_ + call_.first_byte_time_limit) {
    Fail(ErrorCode::kTimeout, "no event was received within the time limit");
    return;
  }
  ResumeOrFail("no data was received within the inactivity limit");
}

void EngineCall::OnFailedAfterSending(const Error& /*error*/) {
  AbortTransfer();
  if (!stream_lost_) {
    context_.CancelAtEngine(call_.address, request_id_, !head_reported_);
  }
}

void EngineCall::CollectAssemblerCounts() {
  context_.counters().duplicates_dropped += assembler_.duplicates();
  context_.counters().reordered += assembler_.reordered();
}

const char* EngineCall::StepName() const {
  switch (state_) {
    case State::kConnecting:
      return resuming_ ? "connect to resume" : "connect";
    case State::kWaiting:
      return resuming_ ? "wait for the resumed stream"
                       : "wait for the response";
    case State::kStreaming:
      return "receive the stream";
    case State::kBackoff:
      return "wait before resuming";
    case State::kDraining:
      return "finish the transfer";
  }
  return "";
}

}  // namespace flamingogauge
