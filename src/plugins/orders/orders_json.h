#ifndef FLAMINGOGAUGE_PLUGINS_ORDERS_ORDERS_JSON_H_
#define FLAMINGOGAUGE_PLUGINS_ORDERS_ORDERS_JSON_H_

#include <optional>
#include <set>
#include <string>

#include "libs/model/ids.h"
#include "libs/orders/order_planner.h"

namespace flamingogauge {

// Encoding of the lease object in the store.
std::string LeaseToJson(const Incarnation& holder);
std::optional<Incarnation> LeaseFromJson(const std::string& text);

// Returns the request body of POST /orders.
std::string OrderToJson(const Order& order);

// Reads the response body of GET /models: {"models":["..."]}.
std::optional<std::set<ModelId>> ModelsFromJson(const std::string& text);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_ORDERS_ORDERS_JSON_H_
