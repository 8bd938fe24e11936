#include "tests/fakes/fake_engine/fake_engine_models.h"

#include <nlohmann/json.hpp>

namespace flamingogauge {

FakeEngineModels::Result FakeEngineModels::ApplyOrder(const std::string& body) {
  try {
    const auto order = nlohmann::json::parse(body);
    const std::string action = order.at("action");
    const std::string model = order.at("model");
    const std::uint64_t number = order.at("fencing_number");
    std::lock_guard<std::mutex> lock(mutex_);
    if (number < highest_fencing_number_) {
      return Result::kStaleFencingNumber;
    }
    highest_fencing_number_ = number;
    ++orders_;
    if (action == "load") {
      models_.insert(model);
    } else {
      models_.erase(model);
    }
    return Result::kDone;
  } catch (const nlohmann::json::exception&) {
    return Result::kInvalid;
  }
}

std::string FakeEngineModels::Json() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return nlohmann::json{{"models", models_},
                        {"orders", orders_},
                        {"fencing_number", highest_fencing_number_}}
      .dump();
}

}  // namespace flamingogauge
