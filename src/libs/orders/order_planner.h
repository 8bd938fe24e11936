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

// The models that an upstream is to have, from the document.
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
  // The upstream has seen a higher fencing number.
  kRefusedOld,
  // The outcome is unknown; the state is read again.
  kFailed,
};

struct OrderPlannerOptions {
  // How often an upstream's models are compared with the document.
  std::chrono::milliseconds read_interval{30000};
  // After a failed read or order.
  std::chrono::milliseconds retry_interval{5000};
  // Loads a minute by all upstreams of the data centre together, within the
  // rate limit of the weight store.
  double loads_per_minute = 6;
};

// Decides which order an upstream gets next. An order follows only a read of
// the upstream's models under the same authority, one at a time for each
// upstream, so that an order whose outcome is unknown is never repeated
// blindly. Deterministic.
class OrderPlanner {
 public:
  explicit OrderPlanner(OrderPlannerOptions options) : options_(options) {}

  void SetTargets(std::vector<OrderTarget> targets);

  // Returns what is due. Without authority nothing is, and what was read is
  // forgotten.
  std::vector<OrderAction> OnTime(
      MonotonicTime now,
      const std::optional<OrderAuthority>& authority);

  // The models that an upstream has, or nothing when the read failed.
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
    // What was read and not yet followed by an order.
    std::optional<std::set<ModelId>> models;
  };

  std::optional<Order> NextOrder(MonotonicTime now,
                                 const OrderAuthority& authority,
                                 State& state);
  bool TakeLoad(MonotonicTime now);

  OrderPlannerOptions options_;
  std::map<UpstreamId, State> states_;
  double loads_available_ = 1;
  MonotonicTime loads_counted_at_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_ORDERS_ORDER_PLANNER_H_
