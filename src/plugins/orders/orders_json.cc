#include "plugins/orders/orders_json.h"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace flamingogauge {

using nlohmann::json;

std::string LeaseToJson(const Incarnation& holder) {
  return json{{"holder", {holder.high, holder.low}}}.dump();
}

std::optional<Incarnation> LeaseFromJson(const std::string& text) {
  try {
    const json holder = json::parse(text).at("holder");
    return Incarnation{.high = holder.at(0).get<std::uint64_t>(),
                       .low = holder.at(1).get<std::uint64_t>()};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string OrderToJson(const Order& order) {
  return json{{"action", order.kind == OrderKind::kLoad ? "load" : "unload"},
              {"model", order.model},
              {"fencing_number", order.fencing_number}}
      .dump();
}

std::optional<std::set<ModelId>> ModelsFromJson(const std::string& text) {
  try {
    return json::parse(text).at("models").get<std::set<ModelId>>();
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace flamingogauge
