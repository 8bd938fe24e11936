#ifndef FLAMINGOGAUGE_LIBS_ROLLOUTS_ROLLOUT_STATUS_WRITER_H_
#define FLAMINGOGAUGE_LIBS_ROLLOUTS_ROLLOUT_STATUS_WRITER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libs/fleet/rollout_order.h"
#include "libs/kernel/time.h"
#include "libs/rollouts/rollout_table.h"

namespace flamingogauge {

// A status to write on the condition that the order still has `revision`.
struct RolloutStatusWrite {
  std::string name;
  std::string service;
  std::uint64_t revision = 0;
  RolloutStatus status;
};

// True if the order's status was written for it and not for an earlier order.
bool HasOwnStatus(const RolloutOrder& order);

// Brings the status of the orders in the store in line with what is known of
// them. At most one write of an order is under way, and a final status is never
// replaced.
class RolloutStatusWriter {
 public:
  // An order that no longer is in the store.
  struct GoneOrder {
    std::string service;
    std::uint64_t order = 0;
  };
  // Replaces the orders by those that were read from the store. Returns those
  // of services that have none any more.
  std::vector<GoneOrder> SetOrders(const std::vector<RolloutOrder>& orders);

  // The newest order of each service.
  std::vector<RolloutOrder> Orders() const;

  // Returns the writes that are due. A host of a higher rank waits longer, so
  // that not all write at once. `unix_time` is since the Unix epoch.
  std::vector<RolloutStatusWrite> Collect(const RolloutTable& table,
                                          std::size_t rank,
                                          std::chrono::milliseconds unix_time,
                                          MonotonicTime now);

  // The result of a write: done, or that nothing is known of it. Returns the
  // order with its new status if that is known now, and null otherwise.
  const RolloutOrder* OnWritten(const RolloutStatusWrite& write, bool done);

 private:
  struct Stored {
    RolloutOrder order;
    MonotonicTime next_write_at;
    bool write_in_flight = false;
    // What is to be written.
    RolloutStatus wanted;
  };

  static bool IsDue(const RolloutRecord& record,
                    const RolloutStatus& wanted,
                    const Stored& stored);

  std::map<std::string, Stored> stored_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_ROLLOUTS_ROLLOUT_STATUS_WRITER_H_
