#ifndef FLAMINGOGAUGE_PLUGINS_UPSTREAMS_UPSTREAM_CALL_BASE_H_
#define FLAMINGOGAUGE_PLUGINS_UPSTREAMS_UPSTREAM_CALL_BASE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/kernel/random.h"
#include "plugins/upstreams/call_counters.h"
#include "plugins/upstreams/curl_loop.h"
#include "plugins/upstreams/http_transfer.h"
#include "plugins/upstreams/upstreams_settings.h"

namespace flamingogauge {

// Interface of the client to its calls and poller. Used on the loop's thread.
class CallContext {
 public:
  virtual ~CallContext() = default;

  virtual CurlLoop& loop() = 0;
  virtual const UpstreamsSettings& settings() const = 0;
  virtual CallCounters& counters() = 0;
  virtual Random& random() = 0;

  // Schedules the destruction of the call after the current function returns.
  virtual void OnCallEnded(const RequestId& id) = 0;

  // Cancels a stream at its engine. `may_arrive_later` means that the request
  // that starts the stream may still be in flight.
  virtual void CancelAtEngine(const std::string& address,
                              const std::string& stream,
                              bool may_arrive_later) = 0;

  // Records an inactivity timeout on a connection to `address`. Connections
  // opened by then are not reused.
  virtual void OnInactivity(const std::string& address) = 0;
  virtual bool RequiresFreshConnection(const std::string& address) const = 0;
};

// Base of engine and service calls. The observer is notified of exactly one
// end. The reported execution knowledge depends only on whether sending had
// begun and on an explicit refusal by the upstream.
class UpstreamCallBase : public HttpTransferDelegate {
 public:
  UpstreamCallBase(CallContext& context,
                   UpstreamCall call,
                   std::shared_ptr<UpstreamCallObserver> observer);
  ~UpstreamCallBase() override;

  // Sends the request, or fails the call when it is invalid.
  void Start();
  void Cancel();
  void SetPaused(bool paused);

  // Returns a JSON object for the state dump.
  std::string DumpJson() const;

  bool OnBeforeSend() override;

 protected:
  // Returns whether the response head states that the request was not executed.
  static bool IsRefusal(int status, const std::vector<HttpHeader>& headers);
  static const std::string* FindHeader(const std::vector<HttpHeader>& headers,
                                       std::string_view name);

  // The time at which the call fails or resumes for lack of progress.
  virtual MonotonicTime InactivityDeadline() const = 0;
  virtual void OnInactivityTimeout() = 0;
  // Called when the call fails after sending has begun.
  virtual void OnFailedAfterSending(const Error& error) = 0;
  // Returns the name of the current step for errors and the state dump.
  virtual const char* StepName() const = 0;

  // Replaces the current transfer by a new one.
  void StartTransfer(HttpTransferOptions options);
  void AbortTransfer();

  // End the call. The observer is not notified again afterwards.
  void Complete();
  void Fail(ErrorCode code, const std::string& message);
  void FailNotExecuted(const std::string& message);

  // Schedules the timer for InactivityDeadline or the total time limit.
  void ArmTimer();
  void RecordActivity() { last_activity_ = std::chrono::steady_clock::now(); }

  CallContext& context_;
  UpstreamCall call_;
  std::shared_ptr<UpstreamCallObserver> observer_;
  std::unique_ptr<HttpTransfer> transfer_;
  // The value of X-Request-Id, by which an engine identifies the stream.
  std::string request_id_;
  const MonotonicTime started_at_;
  MonotonicTime sent_at_{};
  MonotonicTime last_activity_{};
  bool sent_ = false;
  bool ended_ = false;
  bool paused_ = false;

 private:
  Result<void> Prepare();
  void Report(const Error& error, ExecutionKnowledge knowledge);
  void OnTimer();

  bool stopped_by_observer_ = false;
  std::optional<CurlLoop::TimerId> timer_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_UPSTREAMS_UPSTREAM_CALL_BASE_H_
