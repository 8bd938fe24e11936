#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_EXCHANGE_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_EXCHANGE_H_

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/dispatching/dispatcher.h"
#include "libs/http_framing/event_boundary_tracker.h"
#include "libs/http_framing/event_stream_splitter.h"
#include "libs/kernel/event_log.h"
#include "plugins/gateway/accepted_request.h"
#include "plugins/gateway/http_session.h"
#include "plugins/gateway/relay_context.h"
#include "plugins/gateway/upstream_connection.h"

namespace flamingogauge {

// The outcome of a request whose complete upstream response was relayed.
inline constexpr char kOutcomeAnswered[] = "answered";
// The reason for which a host that shuts down refuses or ends a request.
inline constexpr char kStoppingReason[] = "the host stops";
// Short because another host can serve the request at once.
inline constexpr std::chrono::milliseconds kRetryAfterStopping{50};

// Handles one request from acceptance to completion: queues it for placement,
// sends it to an upstream and relays the response to the caller. Resends it
// only if it was not executed or the route allows repeated execution.
class Exchange : public UpstreamResponseObserver,
                 public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(RelayContext& context,
           std::shared_ptr<HttpSession> session,
           AcceptedRequest accepted,
           std::function<void(std::uint64_t)> on_done);
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void Start();
  // Sends the request to the upstream that the dispatcher chose.
  void SendTo(const UpstreamEntry& upstream);
  // Refuses the request; fails it instead if it may have been executed.
  void Refuse(int status,
              std::optional<std::chrono::milliseconds> retry_after,
              const std::string& reason);
  // Refuses the request if it waits and has been quarantined meanwhile.
  void RefuseIfQuarantined();
  // Ends the request because the process is shutting down.
  void AbortOnShutdown();

  const std::string& request_id() const { return accepted_.request_id; }
  // For the state dump.
  std::string Describe(MonotonicTime now) const;

  void OnHead(const HttpResponseReader& reader) override;
  void OnBody(std::string part) override;
  void OnComplete() override;
  void OnCallFailed(UpstreamFailure failure,
                    const std::string& reason) override;

  // The upstream at which the request is in progress, or null.
  const UpstreamEntry* sent_to() const {
    return state_ == State::kSent ? &upstream_ : nullptr;
  }

 private:
  enum class State { kWaiting, kSent, kDone };

  void Enqueue();
  // Gives up the wait for an upstream, or the place that was just granted.
  void LeaveQueue();
  bool KeyIsValid() const;
  std::string ComposeRequest(const UpstreamEntry& upstream,
                             MonotonicTime now) const;
  void OnDeadline();
  void OnCallerDisconnected();
  // Ends the request because the host holds too much: refuses it if it waits.
  void OnMemoryShort();
  void Abandon(const std::string& reason);
  // Passes on or buffers a part of the response.
  void TakeBody(std::string part);
  // Counts bytes of a response that is not passed on; ends it at a bound.
  void Discard(std::size_t bytes);
  // Accounts the part of the response that is held back.
  void AccountResponse();
  void EndDispatch(DispatchResult result);
  void ReportEndedRequest(DispatchResult result) const;
  void OnUpstreamLeaving();
  // Holds requests back if the upstream has asked for it.
  void OnRateLimit(const HttpFields& fields);
  void OnTurnedAway(const HttpFields& fields);
  void LogHealthChange(HealthChange change) const;
  // Records the crash of the upstream unless it accepts new connections.
  void RecordIfCrashed();
  // Resends the request, which was lost in a crash before, once it is known
  // whether the upstream has crashed again.
  void ResendAfterProbe(const std::string& reason);
  void ResendOrFail(const std::string& reason);
  // Records from which a crash of the upstream can be traced to the request.
  void LogLostResponse(UpstreamFailure failure,
                       const std::string& reason) const;
  bool ResendIfAllowed(bool maybe_executed, const std::string& reason);
  void RefuseQuarantined(const CrashQuarantine::Refusal& refusal);
  void FailAfterSend(int status, const std::string& reason);
  // Closes the caller's connection, so that a response that has been started is
  // recognised as incomplete.
  void AbortResponse();
  void OnNotExecuted();
  // The response ended or became invalid before it was complete.
  void OnBrokenOff(const std::string& reason);
  void OnContinuationFailed();
  bool IsStream() const;
  void CommitHead(std::optional<std::uint64_t> length);
  void CommitBufferedResponse();
  void WriteBody(std::string part);
  void RelayStreamPart(std::string part);
  void RecordEvents(const std::string& part, MonotonicTime now);
  // Clears the request of crashing its upstream, which began to write the
  // response at `began_at`.
  void RecordSound(MonotonicTime began_at, MonotonicTime now);
  void ReportPace(MonotonicTime now);
  void SendLocalResponse(int status,
                         std::optional<std::chrono::milliseconds> retry_after);
  void Complete(const std::string& outcome,
                int status,
                const std::string& reason);
  bool KeepsConnection() const;

  RelayContext& context_;
  std::shared_ptr<HttpSession> session_;
  AcceptedRequest accepted_;
  std::function<void(std::uint64_t)> on_done_;
  boost::asio::steady_timer deadline_timer_;
  State state_ = State::kWaiting;

  std::shared_ptr<UpstreamConnection> connection_;
  UpstreamEntry upstream_;
  int sends_ = 0;
  std::vector<std::string> tried_upstreams_;
  MonotonicTime first_sent_at_;
  MonotonicTime sent_at_;
  // Over half of the upstream's places were taken then.
  bool sent_to_busy_ = false;

  // State of the current response.
  HttpResponseHead head_;
  bool head_received_ = false;
  bool not_executed_ = false;
  std::size_t discarded_bytes_ = 0;
  // True if a resumed stream was answered by something else than its rest.
  bool failed_continuation_ = false;
  // True once a send has ended without proof that the request was not executed.
  bool may_have_executed_ = false;
  // Body length and presence as stated by the response head.
  std::optional<std::uint64_t> content_length_;
  bool has_body_ = true;
  std::string buffered_body_;
  // True once the response head has been written to the caller.
  bool head_committed_ = false;
  bool chunked_ = false;
  bool body_until_close_ = false;
  EventStreamSplitter splitter_;
  // Of the current response.
  EventBoundaryTracker boundary_;
  MonotonicTime first_body_at_;
  MonotonicTime last_body_at_;
  Duration longest_gap_{0};
  std::size_t events_ = 0;
  // The upstream has written the response for long enough, or to its end.
  bool is_sound_ = false;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_EXCHANGE_H_
