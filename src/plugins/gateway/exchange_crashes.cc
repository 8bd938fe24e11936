// The part of Exchange that deals with upstreams that crash under its request.
#include <utility>

#include "libs/kernel/boot_clock.h"
#include "libs/model/fingerprint.h"
#include "plugins/gateway/exchange.h"

namespace flamingogauge {
namespace {

constexpr int kServiceUnavailable = 503;

}  // namespace

void Exchange::RecordSound(MonotonicTime began_at, MonotonicTime now) {
  if (!is_sound_) {
    is_sound_ = true;
    context_.crashes.OnSound(accepted_.keys, began_at, now);
    context_.on_quarantine_changed();
  }
}

// Connections end for other reasons as well: a fault of the network, or an
// upstream that sheds load. Only a crashed upstream refuses new ones.
void Exchange::RecordIfCrashed() {
  const auto record = [&context = context_, upstream = upstream_.id,
                       request_id = accepted_.request_id, keys = accepted_.keys,
                       lost_at = BootTimeNow()](bool accepts) {
    if (accepts) {
      return;
    }
    context.log.Write(EventLine("upstream.crashed")
                          .Text("upstream", upstream)
                          .Text("request", request_id)
                          .Text("fingerprint", FormatHash(keys.request)));
    context.metrics.Add("flamingogauge_requests_lost_in_crashes_total", "");
    context.crashes.OnCrash(PeerUpstreamKey(upstream), keys, lost_at,
                            BootTimeNow());
    context.on_quarantine_changed();
  };
  context_.connections.Probe(upstream_.address, record);
}

void Exchange::LogLostResponse(UpstreamFailure failure,
                               const std::string& reason) const {
  std::string parts;
  for (const PromptPart& it : accepted_.prompt_parts) {
    parts += (parts.empty() ? "" : ",") + FormatHash(it.id);
  }
  const MonotonicTime now = BootTimeNow();
  EventLine line("request.response_lost");
  line.Text("request", accepted_.request_id)
      .Text("upstream", upstream_.id)
      .Text("failure", ToString(failure))
      .Text("fingerprint", FormatHash(accepted_.keys.request))
      .Text("prompt_parts", parts)
      .Milliseconds("sent_ms", now - sent_at_)
      .Text("reason", reason);
  if (first_body_at_ != MonotonicTime()) {
    line.Milliseconds("writing_ms", now - first_body_at_);
  }
  context_.log.Write(std::move(line));
}

void Exchange::ResendAfterProbe(const std::string& reason) {
  state_ = State::kWaiting;
  may_have_executed_ = true;
  context_.connections.Probe(
      upstream_.address, [weak = weak_from_this(), reason](bool /*accepts*/) {
        const auto self = weak.lock();
        if (self && self->state_ == State::kWaiting) {
          self->ResendOrFail(reason);
        }
      });
}

void Exchange::RefuseIfQuarantined() {
  if (state_ != State::kWaiting) {
    return;
  }
  const auto refusal =
      context_.crashes.FindQuarantined(accepted_.keys, BootTimeNow());
  if (!refusal) {
    return;
  }
  LeaveQueue();
  RefuseQuarantined(*refusal);
}

void Exchange::RefuseQuarantined(const CrashQuarantine::Refusal& refusal) {
  context_.metrics.Add("flamingogauge_quarantine_refusals_total", "");
  Refuse(kServiceUnavailable, refusal.time_left, QuarantineReason(refusal.key));
}

}  // namespace flamingogauge
