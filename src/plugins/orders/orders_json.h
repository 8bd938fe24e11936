#ifndef FLAMINGOGAUGE_PLUGINS_ORDERS_ORDERS_JSON_H_
#define FLAMINGOGAUGE_PLUGINS_ORDERS_ORDERS_JSON_H_

#include <optional>
#include <set>
#include <string>

#include "libs/model/ids.h"
#include "libs/orders/order_planner.h"

namespace flamingogauge {

// The value of the lease object.
std::string LeaseToJson(const Incarnation& holder);
std::optional<Incarnation> LeaseFromJson(const std::string& text);

// The body of POST /orders.
std::string OrderToJson(const Order& order);

// The answer to GET /models: {"models":["..."]}.
std::optional<std::set<ModelId>> ModelsFromJson(const std::string& text);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_ORDERS_ORDERS_JSON_H_
