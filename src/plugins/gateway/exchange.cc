#include "plugins/gateway/exchange.h"

#include <algorithm>
#include <utility>

#include "libs/kernel/boot_clock.h"
#include "libs/kernel/check.h"
#include "libs/model/fingerprint.h"
#include "plugins/gateway/fleet_events.h"
#include "plugins/gateway/local_response.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kMisdirected = 421;
constexpr char kLastEventId[] = "Last-Event-ID";
constexpr milliseconds kRetryAfterRefusal{500};
constexpr milliseconds kRetryAfterMemory{1000};

}  // namespace

Exchange::Exchange(RelayContext& context,
                   std::shared_ptr<HttpSession> session,
                   AcceptedRequest accepted,
                   std::function<void(std::uint64_t)> on_done)
    : context_(context),
      session_(std::move(session)),
      accepted_(std::move(accepted)),
      on_done_(std::move(on_done)),
      deadline_timer_(context.io) {}

void Exchange::Start() {
  session_->SetDisconnectHandler([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnCallerDisconnected();
    }
  });
  session_->SetMemoryShortHandler([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnMemoryShort();
    }
  });
  // With the copy that is sent.
  session_->SetHeld(HeldKind::kRequest, 2 * accepted_.request.HeldBytes());
  deadline_timer_.expires_after(accepted_.deadline - BootTimeNow());
  deadline_timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& ec) {
        const auto self = weak.lock();
        if (!ec && self) {
          self->OnDeadline();
        }
      });
  context_.resends.OnRequest(accepted_.service, accepted_.arrived_at);
  Enqueue();
}

void Exchange::Enqueue() {
  state_ = State::kWaiting;
  WaitingRequest waiting = MakeWaitingRequest(accepted_);
  waiting.was_sent = !tried_upstreams_.empty();
  waiting.excluded_upstreams = tried_upstreams_;
  // A resumed stream is late once the gap after its last event is too long.
  if (head_committed_ && IsStream()) {
    const Route& route = *accepted_.route;
    waiting.due_at = last_body_at_ + route.max_event_gap;
    waiting.start_by = LatestStart(route, last_body_at_, accepted_.deadline);
  }
  context_.placer.Enqueue(std::move(waiting));
  context_.on_placer_changed();
  context_.schedule_placement();
}

void Exchange::LeaveQueue() {
  context_.placer.Remove(accepted_.id);
  context_.on_placer_changed();
  context_.schedule_placement();
}

bool Exchange::KeyIsValid() const {
  if (accepted_.workspace == nullptr) {
    return true;
  }
  const FleetSnapshot& fleet = context_.fleet;
  const std::string* key =
      accepted_.request.fields.Find(context_.settings.headers.key);
  if (key == nullptr || accepted_.arrived_at - fleet.routing_confirmed_at >
                            context_.settings.changes.max_key_age()) {
    return false;
  }
  const WorkspaceEntry* holder = fleet.routing->FindKey(*key);
  return holder != nullptr && holder->name == accepted_.workspace->name;
}

void Exchange::SendTo(const UpstreamEntry& upstream) {
  upstream_ = upstream;
  const MonotonicTime now = BootTimeNow();
  if (!KeyIsValid()) {
    EndDispatch(DispatchResult::kAbandoned);
    Refuse(kServiceUnavailable, kRetryAfterRefusal,
           "the key cannot be confirmed");
    return;
  }
  if (const auto refusal =
          context_.crashes.FindQuarantined(accepted_.keys, now)) {
    EndDispatch(DispatchResult::kAbandoned);
    RefuseQuarantined(*refusal);
    return;
  }
  if (context_.drain && sends_ == 0 &&
      !context_.drain->AcceptsRequest(now, accepted_.deadline)) {
    // It has waited for so long that the shutdown may cut it off.
    EndDispatch(DispatchResult::kAbandoned);
    Refuse(kServiceUnavailable, kRetryAfterStopping, kStoppingReason);
    return;
  }
  state_ = State::kSent;
  CHECK_INVARIANT("I5",
                  !may_have_executed_ || accepted_.route->AllowsReexecution(),
                  "send " + accepted_.request_id);
  sent_at_ = now;
  const auto view = context_.placer.upstreams().find(upstream.id);
  sent_to_busy_ = view != context_.placer.upstreams().end() &&
                  view->second.running() * 2 > upstream.slots;
  ++sends_;
  if (sends_ == 1) {
    first_sent_at_ = now;
  }
  head_received_ = false;
  not_executed_ = false;
  discarded_bytes_ = 0;
  failed_continuation_ = false;
  std::string().swap(buffered_body_);
  splitter_.DropPartialEvent();
  AccountResponse();
  boundary_ = EventBoundaryTracker();
  first_body_at_ = {};
  longest_gap_ = {};
  events_ = 0;
  is_sound_ = false;
  tried_upstreams_.push_back(upstream.id);
  context_.log.Write(
      EventLine("request.sent")
          .Text("request", accepted_.request_id)
          .Text("route", accepted_.route->name)
          .Text("upstream", upstream.id)
          .Number("send", sends_)
          .Text("workspace",
                accepted_.workspace != nullptr ? accepted_.workspace->name : "")
          .Number("limit_units", static_cast<std::int64_t>(accepted_.spent))
          .Milliseconds("waited_ms", now - accepted_.arrived_at)
          .Number("routing_version",
                  static_cast<std::int64_t>(accepted_.routing->version)));
  connection_ =
      context_.connections.Acquire(upstream.address, accepted_.request_id, now);
  connection_->Send({.bytes = ComposeRequest(upstream, now),
                     .request_id = accepted_.request_id,
                     .is_head = accepted_.request.method == "HEAD"},
                    this);
}

std::string Exchange::ComposeRequest(const UpstreamEntry& upstream,
                                     MonotonicTime now) const {
  const ParsedRequest& request = accepted_.request;
  const RelayHeaderNames& names = context_.settings.headers;
  HttpFields fields = request.fields;
  const bool declares_length = fields.Count("Content-Length") > 0 ||
                               fields.Count("Transfer-Encoding") > 0;
  fields.RemoveHopByHop();
  for (const std::string& it : names.reserved_for_hosts) {
    fields.Remove(it);
  }
  fields.Remove(names.key);
  fields.Remove(names.time_limit_ms);
  const bool resumes = splitter_.event_count() > 0;
  if (resumes) {
    fields.Remove(kLastEventId);
  }
  std::string bytes;
  bytes.reserve(1024 + request.body.size());
  bytes.append(request.method).append(" ").append(request.target);
  bytes.append(" HTTP/1.1\r\n");
  for (const HttpField& it : fields.all()) {
    AppendField(it.name, it.value, bytes);
  }
  const auto left =
      std::chrono::duration_cast<milliseconds>(accepted_.deadline - now);
  AppendField(names.time_limit_ms,
              std::to_string(std::max<std::int64_t>(1, left.count())), bytes);
  AppendField(names.expected_upstream, upstream.id, bytes);
  if (accepted_.workspace != nullptr) {
    AppendField(names.workspace, accepted_.workspace->name, bytes);
  }
  if (resumes) {
    AppendField(kLastEventId, splitter_.last_event_id(), bytes);
  }
  if (declares_length || !request.body.empty()) {
    AppendField("Content-Length", std::to_string(request.body.size()), bytes);
  }
  bytes += "\r\n";
  bytes += request.body;
  return bytes;
}

void Exchange::OnNotExecuted() {
  EndDispatch(head_.status == kMisdirected ? DispatchResult::kReplaced
                                           : DispatchResult::kRefused);
  const std::string reason =
      "the upstream refused with " + std::to_string(head_.status);
  if (ResendIfAllowed(false, reason)) {
    return;
  }
  if (head_committed_) {
    AbortResponse();
    Complete("broken", head_.status, reason);
    return;
  }
  if (may_have_executed_) {
    FailAfterSend(kBadGateway, reason);
    return;
  }
  Refuse(kServiceUnavailable, kRetryAfterRefusal, reason);
}

void Exchange::OnCallFailed(UpstreamFailure failure,
                            const std::string& reason) {
  connection_.reset();
  if (not_executed_) {
    OnNotExecuted();
    return;
  }
  EndDispatch(DispatchResult::kTransportError);
  if (failure == UpstreamFailure::kNotConnected) {
    // Nothing was sent, so this does not count as an attempt.
    --sends_;
    context_.log.Write(EventLine("request.not_connected")
                           .Text("request", accepted_.request_id)
                           .Text("upstream", upstream_.id)
                           .Text("reason", reason));
    Enqueue();
    return;
  }
  LogLostResponse(failure, reason);
  const bool is_lost = failure == UpstreamFailure::kNoResponse ||
                       failure == UpstreamFailure::kTruncatedResponse;
  if (is_lost && !is_sound_) {
    RecordIfCrashed();
    if (context_.crashes.IsSuspect(accepted_.keys.request)) {
      ResendAfterProbe(reason);
      return;
    }
  }
  ResendOrFail(reason);
}

void Exchange::OnBrokenOff(const std::string& reason) {
  EndDispatch(DispatchResult::kTransportError);
  ResendOrFail(reason);
}

void Exchange::ResendOrFail(const std::string& reason) {
  if (!ResendIfAllowed(true, reason)) {
    FailAfterSend(kBadGateway, reason);
  }
}

bool Exchange::ResendIfAllowed(bool maybe_executed, const std::string& reason) {
  const Route& route = *accepted_.route;
  may_have_executed_ = may_have_executed_ || maybe_executed;
  const MonotonicTime now = BootTimeNow();
  if (maybe_executed && !route.AllowsReexecution()) {
    return false;
  }
  if (head_committed_ && !(IsStream() && route.resumable)) {
    return false;
  }
  if (sends_ >= route.max_dispatches || now >= accepted_.deadline ||
      context_.crashes.FindQuarantined(accepted_.keys, now) ||
      !context_.resends.TryResend(accepted_.service, now)) {
    return false;
  }
  context_.metrics.Add("flamingogauge_resends_total",
                       Label("service", accepted_.service));
  context_.log.Write(EventLine("request.resend")
                         .Text("request", accepted_.request_id)
                         .Text("upstream", upstream_.id)
                         .Text("reason", reason));
  Enqueue();
  return true;
}

void Exchange::AbortResponse() {
  if (body_until_close_) {
    session_->AbortWithReset();
  } else {
    session_->Abort();
  }
}

void Exchange::FailAfterSend(int status, const std::string& reason) {
  if (head_committed_) {
    AbortResponse();
    Complete("broken", status, reason);
    return;
  }
  SendLocalResponse(status, std::nullopt);
  Complete("failed", status, reason);
}

void Exchange::Refuse(int status,
                      std::optional<milliseconds> retry_after,
                      const std::string& reason) {
  if (state_ == State::kDone) {
    return;
  }
  if (may_have_executed_) {
    FailAfterSend(kBadGateway, reason);
    return;
  }
  if (accepted_.workspace != nullptr) {
    context_.rate_limiter.Refund(*accepted_.workspace, accepted_.spent);
  }
  SendLocalResponse(status, retry_after);
  Complete("refused", status, reason);
}

void Exchange::SendLocalResponse(int status,
                                 std::optional<milliseconds> retry_after) {
  const bool keep_open = KeepsConnection();
  session_->Write(FormatLocalResponse(
      {.status = status,
       .request_id_header = context_.settings.headers.request_id,
       .request_id = accepted_.request_id,
       .retry_after = retry_after,
       .keep_open = keep_open}));
  session_->Finish(keep_open);
}

void Exchange::OnDeadline() {
  if (state_ == State::kDone) {
    return;
  }
  if (state_ == State::kWaiting) {
    LeaveQueue();
    Refuse(kServiceUnavailable, std::nullopt, "the time limit passed");
    return;
  }
  may_have_executed_ = true;
  connection_->Cancel();
  connection_.reset();
  EndDispatch(DispatchResult::kAbandoned);
  FailAfterSend(kGatewayTimeout, "the time limit passed");
}

void Exchange::OnCallerDisconnected() {
  Abandon("the caller left");
}

void Exchange::OnMemoryShort() {
  const std::string reason = "the host is short of memory";
  if (state_ == State::kWaiting && !head_committed_) {
    LeaveQueue();
    Refuse(kServiceUnavailable, kRetryAfterMemory, reason);
    return;
  }
  // A part of the response may be written, which must not look complete.
  session_->AbortWithReset();
  Abandon(reason);
}

void Exchange::Abandon(const std::string& reason) {
  if (state_ == State::kDone) {
    return;
  }
  if (state_ == State::kWaiting) {
    LeaveQueue();
    if (sends_ == 0 && accepted_.workspace != nullptr) {
      context_.rate_limiter.Refund(*accepted_.workspace, accepted_.spent);
    }
  } else {
    connection_->Cancel();
    connection_.reset();
    EndDispatch(DispatchResult::kAbandoned);
  }
  Complete("abandoned", 0, reason);
}

void Exchange::AbortOnShutdown() {
  if (state_ == State::kDone) {
    return;
  }
  if (state_ == State::kWaiting) {
    LeaveQueue();
    Refuse(kServiceUnavailable, kRetryAfterStopping, kStoppingReason);
    return;
  }
  connection_->Cancel();
  connection_.reset();
  EndDispatch(DispatchResult::kAbandoned);
  FailAfterSend(kBadGateway, kStoppingReason);
}

void Exchange::ReportEndedRequest(DispatchResult result) const {
  if (state_ != State::kSent || !context_.on_request_ended) {
    return;
  }
  context_.on_request_ended(
      {.upstream = upstream_,
       .result = result,
       .answer = {.route = ComputeContentHash(accepted_.route->name).low,
                  .took = BootTimeNow() - sent_at_,
                  .prompt_tokens = accepted_.prompt_tokens,
                  .events = events_,
                  .was_busy = sent_to_busy_}});
}

void Exchange::EndDispatch(DispatchResult result) {
  ReportEndedRequest(result);
  LogHealthChange(context_.placer.OnEnded(upstream_.id, result, BootTimeNow()));
  context_.on_placer_changed();
  context_.schedule_placement();
}

void Exchange::OnUpstreamLeaving() {
  LogHealthChange(context_.placer.OnLeaving(upstream_.id, BootTimeNow()));
  context_.on_placer_changed();
}

void Exchange::LogHealthChange(HealthChange change) const {
  if (change == HealthChange::kNone) {
    return;
  }
  context_.log.Write(HealthChangeEvent(change, upstream_,
                                       context_.placer.dispatcher(),
                                       BootTimeNow())
                         .Text("request", accepted_.request_id));
}

void Exchange::Complete(const std::string& outcome,
                        int status,
                        const std::string& reason) {
  state_ = State::kDone;
  deadline_timer_.cancel();
  const MonotonicTime now = BootTimeNow();
  EventLine line("request.ended");
  line.Text("request", accepted_.request_id)
      .Text("route", accepted_.route->name)
      .Text("outcome", outcome)
      .Number("status", status)
      .Number("sends", sends_)
      .Milliseconds("took_ms", now - accepted_.arrived_at);
  if (!upstream_.id.empty()) {
    line.Text("upstream", upstream_.id);
  }
  if (first_body_at_ != MonotonicTime()) {
    line.Milliseconds("first_body_ms", first_body_at_ - accepted_.arrived_at)
        .Number("events", static_cast<std::int64_t>(events_))
        .Milliseconds("longest_gap_ms", longest_gap_);
  }
  if (!reason.empty()) {
    line.Text("reason", reason);
  }
  context_.log.Write(std::move(line));
  context_.metrics.Add("flamingogauge_requests_total",
                       Label("outcome", outcome));
  context_.metrics.Observe("flamingogauge_request_seconds",
                           Label("outcome", outcome),
                           ToSeconds(now - accepted_.arrived_at));
  const std::string route = Label("route", accepted_.route->name);
  context_.metrics.Add("flamingogauge_route_requests_total", route);
  if (outcome == kOutcomeAnswered) {
    context_.metrics.Observe("flamingogauge_route_seconds", route,
                             ToSeconds(now - accepted_.arrived_at));
  } else {
    context_.metrics.Add("flamingogauge_unanswered_total",
                         Label("reason", reason));
  }
  if (first_body_at_ != MonotonicTime()) {
    context_.metrics.Observe("flamingogauge_route_first_event_seconds", route,
                             ToSeconds(first_body_at_ - accepted_.arrived_at));
  }
  session_->SetDisconnectHandler(nullptr);
  session_->SetWritableHandler(nullptr);
  on_done_(accepted_.id);
}

std::string Exchange::Describe(MonotonicTime now) const {
  EventLine line("request.state");
  line.Text("request", accepted_.request_id)
      .Text("route", accepted_.route->name)
      .Text("state", state_ == State::kWaiting ? "waiting" : "sent")
      .Milliseconds("age_ms", now - accepted_.arrived_at)
      .Number("sends", sends_);
  if (!upstream_.id.empty()) {
    line.Text("upstream", upstream_.id);
  }
  std::string text = line.Take();
  text.pop_back();
  return text;
}

}  // namespace flamingogauge
