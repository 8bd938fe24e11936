#ifndef FLAMINGOGAUGE_PLUGINS_ORDERS_ORDER_CALL_H_
#define FLAMINGOGAUGE_PLUGINS_ORDERS_ORDER_CALL_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "libs/kernel/time.h"
#include "libs/services/upstream_client.h"

namespace flamingogauge {

// Until when this process may send orders; read on the upstream client's
// thread just before an order leaves.
using OrderDeadline = std::atomic<MonotonicTime>;

// Collects the answer of one call about an upstream's models.
class OrderCall : public UpstreamCallObserver {
 public:
  struct Answer {
    // 0 when the call failed.
    int status = 0;
    std::string body;
  };
  using Callback = std::function<void(Answer)>;

  // Without a deadline the call is a read, which needs no lease.
  OrderCall(std::shared_ptr<const OrderDeadline> deadline, Callback callback)
      : deadline_(std::move(deadline)), callback_(std::move(callback)) {}

  bool OnSending() override;
  void OnHead(int status, std::vector<HttpHeader> headers) override;
  void OnData(std::string data) override;
  void OnComplete() override;
  void OnFailed(Error error, ExecutionKnowledge knowledge) override;

 private:
  std::shared_ptr<const OrderDeadline> deadline_;
  Callback callback_;
  Answer answer_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_ORDERS_ORDER_CALL_H_
