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

// One call to an engine. A stream whose connection breaks or goes silent is
// continued on a new connection at the next offset, a bounded number of times;
// an answer that ends without [DONE] is never reported as complete.
class EngineCall : public UpstreamCallBase {
 public:
  EngineCall(CallHost& host,
             UpstreamCall call,
             std::shared_ptr<UpstreamCallObserver> observer);
  ~EngineCall() override;

  bool OnBeforeSend() override;
  void OnHead(int status, std::vector<HttpHeader> headers) override;
  bool OnBody(std::string_view bytes) override;
  void OnFinished(TransferEnd end, const std::string& message) override;

 protected:
  MonotonicTime SilenceDeadline() const override;
  void OnSilent() override;
  void OnFailedAfterSending(const Error& error) override;
  const char* StepName() const override;

 private:
  enum class State { kConnecting, kWaiting, kStreaming, kBackoff, kDraining };

  bool OnErrorBody(std::string_view bytes);
  void HandleBadStatus();
  void HandleBreak(const std::string& message);
  void Resume();
  void CollectAssemblerCounts();

  State state_ = State::kConnecting;
  bool resuming_ = false;
  bool head_reported_ = false;
  // The head of the answer on the current connection.
  bool head_seen_ = false;
  bool any_event_ = false;
  int status_ = 0;
  bool refused_ = false;
  bool engine_gone_ = false;
  std::string error_body_;
  SseParser parser_;
  StreamAssembler assembler_;
  int resumes_ = 0;
  std::string last_break_;
  std::optional<CurlLoop::TimerId> backoff_timer_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_UPSTREAMS_ENGINE_CALL_H_
