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

// The time until which this process may send orders. Read on the upstream
// client's thread immediately before an order is sent.
using OrderDeadline = std::atomic<MonotonicTime>;

// Collects the response of one call that reads or changes an upstream's models.
class OrderCall : public UpstreamCallObserver {
 public:
  struct Answer {
    // 0 when the call failed.
    int status = 0;
    std::string body;
  };
  using Callback = std::function<void(Answer)>;

  // `deadline` is null for reads, which need no lease.
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
