#ifndef FLAMINGOGAUGE_LIBS_ORDERS_ORDER_LEASE_H_
#define FLAMINGOGAUGE_LIBS_ORDERS_ORDER_LEASE_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "libs/kernel/time.h"
#include "libs/model/ids.h"
#include "libs/services/store_write_result.h"

namespace flamingogauge {

struct OrderLeaseOptions {
  // Incarnation of this process; the lease object contains that of its holder.
  Incarnation self;
  std::chrono::milliseconds lease{10000};
  // How often the holder renews the lease and other hosts read it.
  std::chrono::milliseconds interval{3000};
  // Additional wait before a takeover, for clocks that run at different rates.
  std::chrono::milliseconds clock_margin{1000};
  // Maximum time from the check of the lease to the execution of an order by
  // its upstream.
  std::chrono::seconds max_order_delay{30};
};

// Permission to send orders (load, unload, change role) to the upstreams of one
// data centre.
struct OrderAuthority {
  // The version of the lease object, which increases with each renewal and each
  // change of holder. Sent with each order.
  std::uint64_t fencing_number = 0;
  MonotonicTime valid_until;
  // From this time on orders may be sent to upstreams that do not check the
  // fencing number, because orders of the previous holder can no longer arrive.
  // The state of such an upstream must be read first.
  MonotonicTime unfenced_from;
};

struct LeaseAction {
  enum class Kind { kRead, kCreate, kUpdate };
  Kind kind = Kind::kRead;
  // For kUpdate.
  std::uint64_t expected_version = 0;
};

// The lease object, as read from the store.
struct LeaseObject {
  Incarnation holder;
  std::uint64_t version = 0;
};

// Acquires and renews the lease by conditional updates of one object in the
// platform's store. Deterministic; at most one store call is outstanding at a
// time.
class OrderLease {
 public:
  explicit OrderLease(OrderLeaseOptions options) : options_(options) {}

  // Returns the next store call when one is due.
  std::optional<LeaseAction> OnTime(MonotonicTime now);

  // The outstanding read ended. `object` is empty when no lease object exists.
  void OnRead(MonotonicTime now, std::optional<LeaseObject> object);

  // The outstanding read failed.
  void OnReadFailed(MonotonicTime now);

  // The outstanding write ended; `version` is the new version for kApplied.
  void OnWritten(MonotonicTime now,
                 StoreWriteResult result,
                 std::uint64_t version);

  // An upstream refused an order because it has received a higher fencing
  // number.
  void OnOrderRefused();

  // Returns the permission to send orders at `now`, if this process has it.
  // Must be called immediately before each order is sent.
  std::optional<OrderAuthority> Authority(MonotonicTime now) const;

 private:
  void Hold(MonotonicTime now, std::uint64_t version, MonotonicTime term_start);
  void Lose();

  OrderLeaseOptions options_;
  bool outstanding_ = false;
  MonotonicTime next_call_;
  // When the last write was sent; the term of the lease starts at this time.
  MonotonicTime write_sent_;
  bool write_in_doubt_ = false;
  // When the first of the writes whose responses were lost was sent. A version
  // that is read later may come from any of them.
  std::optional<MonotonicTime> first_in_doubt_write_sent_;
  // The last observed version, and when it was first observed.
  std::optional<std::uint64_t> observed_version_;
  MonotonicTime observed_since_;
  bool object_absent_ = false;
  std::optional<OrderAuthority> authority_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_ORDERS_ORDER_LEASE_H_
