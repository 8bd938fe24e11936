#ifndef FLAMINGOGAUGE_PLUGINS_REQUESTS_CALL_OBSERVER_H_
#define FLAMINGOGAUGE_PLUGINS_REQUESTS_CALL_OBSERVER_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "libs/requests/dispatch_gate.h"
#include "libs/services/upstream_client.h"
#include "plugins/requests/request_inbox.h"

namespace flamingogauge {

// Forwards the events of one attempt from the upstream client's thread to the
// requests thread.
class CallObserver : public UpstreamCallObserver {
 public:
  CallObserver(RequestId id,
               std::uint32_t attempt,
               std::shared_ptr<DispatchGate> gate,
               std::shared_ptr<RequestInbox> inbox,
               UpstreamClient* client);

  bool OnSending() override;
  void OnHead(int status, std::vector<HttpHeader> headers) override;
  void OnData(std::string data) override;
  void OnComplete() override;
  void OnFailed(Error error, ExecutionKnowledge knowledge) override;

 private:
  const RequestId id_;
  const std::uint32_t attempt_;
  const std::shared_ptr<DispatchGate> gate_;
  const std::shared_ptr<RequestInbox> inbox_;
  UpstreamClient* const client_;
  // True once response data was dropped because the ring was full. The response
  // can then not be completed.
  bool data_lost_ = false;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_REQUESTS_CALL_OBSERVER_H_
