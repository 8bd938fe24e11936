#ifndef FLAMINGOGAUGE_PLUGINS_UPSTREAMS_SERVICE_CALL_H_
#define FLAMINGOGAUGE_PLUGINS_UPSTREAMS_SERVICE_CALL_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "plugins/upstreams/upstream_call_base.h"

namespace flamingogauge {

// One call to a plain service, which is sent at most once and never retried.
// After a connection failure, the service's address is probed without sending a
// request, to distinguish a crash from a lost connection.
class ServiceCall : public UpstreamCallBase {
 public:
  ServiceCall(CallContext& context,
              UpstreamCall call,
              std::shared_ptr<UpstreamCallObserver> observer);

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
  enum class State { kConnecting, kWaiting, kReceiving, kProbing };

  void OnProbeFinished(TransferEnd end);

  State state_ = State::kConnecting;
  bool refused_ = false;
  // Whether the response head determines where the body ends.
  bool has_length_ = false;
  std::size_t received_bytes_ = 0;
  bool too_large_ = false;
  std::string failure_message_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_UPSTREAMS_SERVICE_CALL_H_
