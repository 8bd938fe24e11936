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

// What a call needs from the client that owns it. Used on the loop's thread.
class CallHost {
 public:
  virtual ~CallHost() = default;

  virtual CurlLoop& loop() = 0;
  virtual const UpstreamsSettings& settings() const = 0;
  virtual CallCounters& counters() = 0;
  virtual Random& random() = 0;

  // Destroys the call soon, but not before the current function returned.
  virtual void OnCallEnded(const RequestId& id) = 0;

  // Tells the engine to stop a stream. `may_arrive_later` says that the request
  // that starts it may still be on its way.
  virtual void CancelAtEngine(const std::string& address,
                              const std::string& stream,
                              bool may_arrive_later) = 0;

  // Records that an open connection to `address` went silent; others from the
  // same time are then not used again.
  virtual void OnSilence(const std::string& address) = 0;
  virtual bool MustOpenFresh(const std::string& address) const = 0;
};

// The part of a call that engines and services have in common: the observer is
// told of exactly one end, and what is known about the execution follows only
// from whether a byte was written and from the upstream's explicit refusal.
class UpstreamCallBase : public HttpTransferDelegate {
 public:
  UpstreamCallBase(CallHost& host,
                   UpstreamCall call,
                   std::shared_ptr<UpstreamCallObserver> observer);
  ~UpstreamCallBase() override;

  // Sends the request, or fails when it is not valid.
  void Start();
  void Cancel();
  void SetPaused(bool paused);

  // A JSON object for the state dump.
  std::string DumpJson() const;

  bool OnBeforeSend() override;

 protected:
  // The answer's head says that the upstream did not execute the request.
  static bool IsRefusal(int status, const std::vector<HttpHeader>& headers);
  static const std::string* FindHeader(const std::vector<HttpHeader>& headers,
                                       std::string_view name);

  // The time at which the call fails or is repaired for lack of progress.
  virtual MonotonicTime SilenceDeadline() const = 0;
  virtual void OnSilent() = 0;
  // The call failed after something was sent.
  virtual void OnFailedAfterSending(const Error& error) = 0;
  // The name of the current step for errors and the dump.
  virtual const char* StepName() const = 0;

  // Starts a transfer in place of the current one.
  void StartTransfer(HttpTransferOptions options);
  void DropTransfer();

  // Ends the call; nothing is reported afterwards.
  void Complete();
  void Fail(ErrorCode code, const std::string& message);
  void FailNotExecuted(const std::string& message);

  // Fits the timer to SilenceDeadline and the total limit.
  void ArmTimer();
  void NoteActivity() { last_activity_ = std::chrono::steady_clock::now(); }

  CallHost& host_;
  UpstreamCall call_;
  std::shared_ptr<UpstreamCallObserver> observer_;
  std::unique_ptr<HttpTransfer> transfer_;
  // The X-Request-Id header's value, under which an engine knows the stream.
  std::string wire_id_;
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
