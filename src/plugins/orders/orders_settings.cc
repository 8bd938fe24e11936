#include "plugins/orders/orders_settings.h"

#include <gflags/gflags.h>

#include "libs/kernel/setting_range.h"

DEFINE_bool(orders,
            true,
            "order upstreams to load and unload models as the document says");
DEFINE_int64(orders_lease_ms,
             10000,
             "lease of the host that gives orders, 1000 to 600000 ms");
DEFINE_int64(orders_longest_flight_ms,
             30000,
             "longest time from the check of the lease to the execution of an "
             "order, 100 to 600000 ms");
DEFINE_int64(orders_read_interval_ms,
             30000,
             "time between comparisons of an upstream's models with the "
             "document, 100 to 3600000 ms");
DEFINE_double(orders_loads_per_minute,
              6,
              "loads from the weight store by a data centre, 0.01 to 10000");

namespace flamingogauge {

Result<void> CheckOrdersSettings(const OrdersSettings& settings) {
  return CheckSettingRanges({
      RangeOf("orders_lease_ms", settings.lease, 1000, 600000),
      RangeOf("orders_longest_flight_ms", settings.max_order_delay, 100,
              600000),
      RangeOf("orders_read_interval_ms", settings.read_interval, 100, 3600000),
      RangeOf("orders_loads_per_minute", settings.loads_per_minute, 0.01,
              10000),
  });
}

OrdersSettings OrdersSettingsFromFlags() {
  return {
      .enabled = FLAGS_orders,
      .lease = std::chrono::milliseconds(FLAGS_orders_lease_ms),
      .max_order_delay =
          std::chrono::milliseconds(FLAGS_orders_longest_flight_ms),
      .read_interval = std::chrono::milliseconds(FLAGS_orders_read_interval_ms),
      .loads_per_minute = FLAGS_orders_loads_per_minute};
}

}  // namespace flamingogauge
