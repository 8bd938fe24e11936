#include "plugins/upstreams/upstream_call_base.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace flamingogauge {
namespace {

constexpr int kServiceUnavailable = 503;

// Connection-specific headers, which libcurl sets itself.
constexpr std::array<const char*, 5> kConnectionHeaders{
    "Connection", "Content-Length", "Expect", "Host", "Transfer-Encoding"};

bool SameName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

// Returns whether `text` has no characters that could end a header or request
// line early, which would allow header injection.
bool IsOneLine(std::string_view text) {
  return std::none_of(text.begin(), text.end(),
                      [](char c) { return c == '\r' || c == '\n' || c == 0; });
}

bool IsValidPath(std::string_view path) {
  return !path.empty() && path.front() == '/' &&
         std::none_of(path.begin(), path.end(), [](char c) {
           return static_cast<unsigned char>(c) <= ' ' || c == 0x7f;
         });
}

bool IsValidAddress(std::string_view address) {
  return !address.empty() &&
         address.find_first_not_of("0123456789abcdefABCDEF.:[]") ==
             std::string_view::npos;
}

}  // namespace

UpstreamCallBase::UpstreamCallBase(
    CallContext& context,
    UpstreamCall call,
    std::shared_ptr<UpstreamCallObserver> observer)
    : context_(context),
      call_(std::move(call)),
      observer_(std::move(observer)),
      started_at_(std::chrono::steady_clock::now()) {
  RecordActivity();
}

UpstreamCallBase::~UpstreamCallBase() {
  if (timer_) {
    context_.loop().Unschedule(*timer_);
  }
}

void UpstreamCallBase::Start() {
  ++context_.counters().started;
  const Result<void> prepared = Prepare();
  if (!prepared) {
    Report(prepared.error(), ExecutionKnowledge::kNothingSent);
    return;
  }
  StartTransfer(
      {.method = call_.method,
       .address = call_.address,
       .path = call_.path,
       .headers = call_.headers,
       .body = call_.body,
       .connect_time_limit = call_.connect_time_limit,
       .fresh_connection = context_.RequiresFreshConnection(call_.address)});
  ArmTimer();
}

// Validates the call and adds the missing headers.
Result<void> UpstreamCallBase::Prepare() {
  auto& headers = call_.headers;
  headers.erase(std::remove_if(headers.begin(), headers.end(),
                               [](const HttpHeader& header) {
                                 return std::any_of(
                                     kConnectionHeaders.begin(),
                                     kConnectionHeaders.end(),
                                     [&header](const char* name) {
                                       return SameName(header.name, name);
                                     });
                               }),
                headers.end());
  const bool headers_valid =
      std::all_of(headers.begin(), headers.end(), [](const HttpHeader& it) {
        return IsOneLine(it.name) && IsOneLine(it.value) &&
               it.name.find(':') == std::string::npos && !it.name.empty();
      });
  if (!headers_valid || !IsValidPath(call_.path) || !IsOneLine(call_.method) ||
      call_.method.empty() || !IsValidAddress(call_.address)) {
    return Error{.code = ErrorCode::kInvalidArgument,
                 .step = "check call",
                 .peer = call_.upstream,
                 .message =
                     "the address, method, path or a header is empty, "
                     "malformed or contains an invalid character"};
  }
  const std::string* id = FindHeader(headers, "X-Request-Id");
  request_id_ = id != nullptr ? *id : ToString(call_.id);
  if (id == nullptr) {
    headers.push_back({"X-Request-Id", request_id_});
  }
  if (!call_.body.empty() && FindHeader(headers, "Content-Type") == nullptr) {
    headers.push_back({"Content-Type", "application/json"});
  }
  return boost::outcome_v2::success();
}

void UpstreamCallBase::Cancel() {
  if (!ended_) {
    Fail(ErrorCode::kCancelled, "cancelled by the caller");
  }
}

void UpstreamCallBase::SetPaused(bool paused) {
  if (ended_ || paused_ == paused) {
    return;
  }
  paused_ = paused;
  RecordActivity();
  if (transfer_ && sent_) {
    transfer_->SetPaused(paused);
  }
  ArmTimer();
}

bool UpstreamCallBase::OnBeforeSend() {
  if (sent_) {
    // libcurl retries a request by itself when a reused connection closes
    // before any byte of a response. The upstream may have executed it (I1,
    // I5).
    ++context_.counters().repeats_prevented;
    return false;
  }
  if (!observer_->OnSending()) {
    stopped_by_observer_ = true;
    return false;
  }
  sent_ = true;
  sent_at_ = std::chrono::steady_clock::now();
  last_activity_ = sent_at_;
  return true;
}

bool UpstreamCallBase::IsRefusal(int status,
                                 const std::vector<HttpHeader>& headers) {
  const std::string* value = FindHeader(headers, "X-Not-Executed");
  return status == kServiceUnavailable && value != nullptr && *value == "1";
}

const std::string* UpstreamCallBase::FindHeader(
    const std::vector<HttpHeader>& headers,
    std::string_view name) {
  const auto it = std::find_if(
      headers.begin(), headers.end(),
      [name](const HttpHeader& header) { return SameName(header.name, name); });
  return it == headers.end() ? nullptr : &it->value;
}

void UpstreamCallBase::StartTransfer(HttpTransferOptions options) {
  options.max_idle_time = context_.settings().max_idle_time;
  transfer_ = std::make_unique<HttpTransfer>(context_.loop(), options, *this);
}

void UpstreamCallBase::AbortTransfer() {
  transfer_.reset();
}

void UpstreamCallBase::Complete() {
  ended_ = true;
  ++context_.counters().completed;
  observer_->OnComplete();
}

void UpstreamCallBase::Fail(ErrorCode code, const std::string& message) {
  if (stopped_by_observer_) {
    code = ErrorCode::kCancelled;
  }
  const Error error{.code = code,
                    .step = StepName(),
                    .peer = call_.upstream + " " + call_.address,
                    .message = stopped_by_observer_
                                   ? "the call was withdrawn before it was sent"
                                   : message};
  if (sent_) {
    OnFailedAfterSending(error);
  }
  Report(error, sent_ ? ExecutionKnowledge::kMaybeExecuted
                      : ExecutionKnowledge::kNothingSent);
}

void UpstreamCallBase::FailNotExecuted(const std::string& message) {
  Report(Error{.code = ErrorCode::kUnavailable,
               .step = StepName(),
               .peer = call_.upstream + " " + call_.address,
               .message = message},
         ExecutionKnowledge::kNotExecuted);
}

void UpstreamCallBase::Report(const Error& error,
                              ExecutionKnowledge knowledge) {
  ended_ = true;
  context_.counters().CountFailure(error.code, knowledge);
  context_.OnCallEnded(call_.id);
  observer_->OnFailed(error, knowledge);
}

void UpstreamCallBase::ArmTimer() {
  MonotonicTime deadline = started_at_ + call_.total_time_limit;
  if (ended_) {
    deadline = InactivityDeadline();
  } else if (!paused_) {
    deadline = std::min(deadline, InactivityDeadline());
  }
  if (timer_ && timer_->first <= deadline) {
    // OnTimer recomputes the deadline, so an earlier timer can stay.
    return;
  }
  if (timer_) {
    context_.loop().Unschedule(*timer_);
  }
  timer_ = context_.loop().Schedule(deadline, [this] { OnTimer(); });
}

void UpstreamCallBase::OnTimer() {
  timer_.reset();
  const auto now = std::chrono::steady_clock::now();
  if (ended_) {
    if (now >= InactivityDeadline()) {
      OnInactivityTimeout();
    } else {
      ArmTimer();
    }
    return;
  }
  if (now >= started_at_ + call_.total_time_limit) {
    Fail(ErrorCode::kTimeout, "the total time limit was exceeded");
    return;
  }
  if (!paused_ && now >= InactivityDeadline()) {
    OnInactivityTimeout();
  }
  if (!ended_) {
    ArmTimer();
  }
}

std::string UpstreamCallBase::DumpJson() const {
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - started_at_);
  return nlohmann::json{
      {"id", ToString(call_.id)}, {"upstream", call_.upstream},
      {"step", StepName()},       {"sent", sent_},
      {"paused", paused_},        {"age_ms", age.count()}}
      .dump();
}

}  // namespace flamingogauge
