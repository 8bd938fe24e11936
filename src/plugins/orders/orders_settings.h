#ifndef FLAMINGOGAUGE_PLUGINS_ORDERS_ORDERS_SETTINGS_H_
#define FLAMINGOGAUGE_PLUGINS_ORDERS_ORDERS_SETTINGS_H_

#include <chrono>

#include "libs/kernel/error.h"

namespace flamingogauge {

struct OrdersSettings {
  // If false, this host leaves the models of all upstreams to others: it sends
  // no orders and does not take the lease.
  bool enabled = true;
  std::chrono::milliseconds lease{10000};
  std::chrono::milliseconds max_order_delay{30000};
  std::chrono::milliseconds read_interval{30000};
  double loads_per_minute = 6;
};

// Returns kInvalidArgument with the flag, the value and the allowed range.
Result<void> CheckOrdersSettings(const OrdersSettings& settings);

OrdersSettings OrdersSettingsFromFlags();

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_ORDERS_ORDERS_SETTINGS_H_
