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
  // This process; the lease object holds the incarnation of its holder.
  Incarnation self;
  std::chrono::milliseconds lease{10000};
  // How often the holder renews and the others look.
  std::chrono::milliseconds interval{3000};
  // Added before a takeover for clocks that run at different rates.
  std::chrono::milliseconds clock_margin{1000};
  // The longest time between the check of the lease and the execution of an
  // order by its upstream.
  std::chrono::seconds max_order_delay{30};
};

// The right to give orders (load, unload, change role) to the upstreams of one
// data centre.
struct OrderAuthority {
  // The version of the lease object; rises with each renewal and holder. Sent
  // with each order.
  std::uint64_t fencing_number = 0;
  MonotonicTime valid_until;
  // From when upstreams that do not check the fencing number may be ordered:
  // orders of the previous holder can no longer arrive. Their state must be
  // read before.
  MonotonicTime unfenced_from;
};

struct LeaseAction {
  enum class Kind { kRead, kCreate, kUpdate };
  Kind kind = Kind::kRead;
  // For kUpdate.
  std::uint64_t expected_version = 0;
};

// The lease object as it was read.
struct LeaseObject {
  Incarnation holder;
  std::uint64_t version = 0;
};

// Acquires and keeps the lease by conditional updates of one object in the
// platform's store. Deterministic; one store call is outstanding at a time.
class OrderLease {
 public:
  explicit OrderLease(OrderLeaseOptions options) : options_(options) {}

  // Returns the next store call when one is due.
  std::optional<LeaseAction> OnTime(MonotonicTime now);

  // The outstanding read ended: the object, or nothing when it is absent.
  void OnRead(MonotonicTime now, std::optional<LeaseObject> object);

  // The outstanding read failed.
  void OnReadFailed(MonotonicTime now);

  // The outstanding write ended; `version` is the new version for kApplied.
  void OnWritten(MonotonicTime now,
                 StoreWriteResult result,
                 std::uint64_t version);

  // An upstream refused an order because it had seen a higher number.
  void OnOrderRefused();

  // The right to give orders at `now`, if this process has it. To be asked
  // immediately before each order is sent.
  std::optional<OrderAuthority> Authority(MonotonicTime now) const;

 private:
  void Hold(MonotonicTime now,
            std::uint64_t version,
            MonotonicTime counted_from);
  void Lose();

  OrderLeaseOptions options_;
  bool outstanding_ = false;
  MonotonicTime next_call_;
  // When the newest write was sent; a lease counts from there.
  MonotonicTime write_sent_;
  bool write_in_doubt_ = false;
  // When the first of the writes whose answers were lost was sent. A version
  // that is read back may come from any of them.
  std::optional<MonotonicTime> first_doubt_sent_;
  // The newest object seen and since when it is known unchanged.
  std::optional<std::uint64_t> seen_version_;
  MonotonicTime seen_since_;
  bool absent_ = false;
  std::optional<OrderAuthority> authority_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_ORDERS_ORDER_LEASE_H_
