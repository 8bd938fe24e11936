#ifndef FLAMINGOGAUGE_LIBS_ORDERS_ORDER_PLANNER_H_
#define FLAMINGOGAUGE_LIBS_ORDERS_ORDER_PLANNER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "libs/kernel/time.h"
#include "libs/model/ids.h"
#include "libs/orders/order_lease.h"

namespace flamingogauge {

// The models that an upstream should have loaded, according to the document.
struct OrderTarget {
  UpstreamId upstream;
  std::string address;
  std::set<ModelId> models;
  bool checks_fencing = false;
};

enum class OrderKind { kLoad, kUnload };

struct Order {
  UpstreamId upstream;
  std::string address;
  OrderKind kind = OrderKind::kLoad;
  ModelId model;
  std::uint64_t fencing_number = 0;
};

struct ReadModelsAction {
  UpstreamId upstream;
  std::string address;
};

using OrderAction = std::variant<ReadModelsAction, Order>;

enum class OrderResult {
  kDone,
  // The upstream has received a higher fencing number.
  kRefusedOld,
  // The outcome is unknown; the state is read again.
  kFailed,
};

struct OrderPlannerOptions {
  // How often an upstream's models are compared with the document.
  std::chrono::milliseconds read_interval{30000};
  // Delay of the next read after a failed read or order.
  std::chrono::milliseconds retry_interval{5000};
  // Maximum number of loads per minute for all upstreams of the data centre
  // together. Keeps them within the rate limit of the weight store, from which
  // upstreams load the weights of models.
  double loads_per_minute = 6;
};

// Determines the next order for each upstream. Each order requires a read of
// the upstream's models since this host obtained its OrderAuthority and since
// the previous order, and each upstream has at most one order outstanding, so
// that an order with an unknown outcome is never repeated without a read.
// Deterministic.
class OrderPlanner {
 public:
  explicit OrderPlanner(OrderPlannerOptions options) : options_(options) {}

  void SetTargets(std::vector<OrderTarget> targets);

  // Returns the actions that are due. Without authority there are none, and the
  // models read so far are discarded.
  std::vector<OrderAction> OnTime(
      MonotonicTime now,
      const std::optional<OrderAuthority>& authority);

  // The read of an upstream's models ended. `models` is empty if it failed.
  void OnModels(MonotonicTime now,
                const UpstreamId& upstream,
                std::optional<std::set<ModelId>> models);

  void OnOrderEnded(MonotonicTime now,
                    const UpstreamId& upstream,
                    OrderResult result);

 private:
  struct State {
    OrderTarget target;
    bool outstanding = false;
    MonotonicTime next_read;
    // The result of the last read, if no order was sent since then.
    std::optional<std::set<ModelId>> models;
  };

  std::optional<Order> NextOrder(MonotonicTime now,
                                 const OrderAuthority& authority,
                                 State& state);
  bool TryConsumeLoad(MonotonicTime now);

  OrderPlannerOptions options_;
  std::map<UpstreamId, State> states_;
  double loads_available_ = 1;
  MonotonicTime loads_updated_at_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_ORDERS_ORDER_PLANNER_H_
