#ifndef FLAMINGOGAUGE_PLUGINS_UPSTREAMS_ENGINE_CALL_H_
#define FLAMINGOGAUGE_PLUGINS_UPSTREAMS_ENGINE_CALL_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "plugins/upstreams/sse_parser.h"
#include "plugins/upstreams/stream_assembler.h"
#include "plugins/upstreams/upstream_call_base.h"

namespace flamingogauge {

// One call to an engine. A stream whose connection fails or stalls is resumed
// on a new connection at the next offset, a limited number of times. A response
// that ends without [DONE] is never reported as complete.
class EngineCall : public UpstreamCallBase {
 public:
  EngineCall(CallContext& context,
             UpstreamCall call,
             std::shared_ptr<UpstreamCallObserver> observer);
  ~EngineCall() override;

  bool OnBeforeSend() override;
  void OnHead(int status, std::vector<HttpHeader> headers) override;
  bool OnBody(std::string_view bytes) override;
  void OnFinished(TransferEnd end, const std::string& message) override;

 protected:
  MonotonicTime InactivityDeadline() const override;
  void OnInactivityTimeout() override;
  void OnFailedAfterSending(const Error& error) override;
  const char* StepName() const override;

 private:
  enum class State { kConnecting, kWaiting, kStreaming, kBackoff, kDraining };

  bool OnErrorBody(std::string_view bytes);
  void HandleBadStatus();
  void ResumeOrFail(const std::string& message);
  void Resume();
  void CollectAssemblerCounts();

  State state_ = State::kConnecting;
  bool resuming_ = false;
  bool head_reported_ = false;
  // Whether the current connection has received a response head.
  bool head_received_ = false;
  bool event_received_ = false;
  int status_ = 0;
  bool refused_ = false;
  bool stream_lost_ = false;
  std::string error_body_;
  SseParser parser_;
  StreamAssembler assembler_;
  int resumes_ = 0;
  std::string last_failure_;
  std::optional<CurlLoop::TimerId> backoff_timer_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_UPSTREAMS_ENGINE_CALL_H_
