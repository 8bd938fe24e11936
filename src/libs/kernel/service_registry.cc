#include "libs/kernel/service_registry.h"

namespace flamingogauge {

Result<void> ServiceRegistry::RegisterUntyped(std::string_view name,
                                              std::type_index type,
                                              void* service) {
  const auto [it, inserted] =
      entries_.try_emplace(std::string(name), Entry{type, service});
  if (!inserted) {
    return Error{.code = ErrorCode::kAlreadyExists,
                 .step = "register service",
                 .peer = std::string(name),
                 .message = "the name is already registered"};
  }
  return boost::outcome_v2::success();
}

Result<void*> ServiceRegistry::FindUntyped(std::string_view name,
                                           std::type_index type) const {
  const auto it = entries_.find(name);
  if (it == entries_.end()) {
    return Error{.code = ErrorCode::kNotFound,
                 .step = "find service",
                 .peer = std::string(name),
                 .message = "no plugin registered this service"};
  }
  if (it->second.type != type) {
    return Error{.code = ErrorCode::kInvalidArgument,
                 .step = "find service",
                 .peer = std::string(name),
                 .message = "the service has another interface"};
  }
  return it->second.service;
}

}  // namespace flamingogauge
