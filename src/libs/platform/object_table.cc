#include "libs/platform/object_table.h"

#include <utility>

namespace flamingogauge {
namespace {

Error MakeError(ErrorCode code, const std::string& step, std::string message) {
  return Error{
      .code = code, .step = step, .peer = "", .message = std::move(message)};
}

}  // namespace

Result<StoredObject> ObjectTable::Get(const std::string& key) const {
  const auto it = objects_.find(key);
  if (it == objects_.end()) {
    return MakeError(ErrorCode::kNotFound, "read object",
                     "no object has the key " + key);
  }
  return it->second;
}

Result<StoredObject> ObjectTable::Create(const std::string& key,
                                         std::string value) {
  if (objects_.contains(key)) {
    return MakeError(ErrorCode::kAlreadyExists, "create object",
                     "the key " + key + " already exists");
  }
  return Put(key, std::move(value));
}

Result<StoredObject> ObjectTable::Update(const std::string& key,
                                         std::string value,
                                         std::uint64_t expected_version) {
  const Result<StoredObject> current = Get(key);
  if (!current) {
    return current.error();
  }
  if (current.value().version != expected_version) {
    return MakeError(ErrorCode::kVersionMismatch, "update object",
                     key + " has version " +
                         std::to_string(current.value().version) + ", not " +
                         std::to_string(expected_version));
  }
  return Put(key, std::move(value));
}

Result<void> ObjectTable::Delete(const std::string& key,
                                 std::uint64_t expected_version) {
  const auto it = objects_.find(key);
  if (it == objects_.end()) {
    return MakeError(ErrorCode::kNotFound, "delete object",
                     "no object has the key " + key);
  }
  if (it->second.version != expected_version) {
    return MakeError(ErrorCode::kVersionMismatch, "delete object",
                     key + " has version " +
                         std::to_string(it->second.version) + ", not " +
                         std::to_string(expected_version));
  }
  objects_.erase(it);
  ++last_version_;
  return boost::outcome_v2::success();
}

std::vector<StoredObject> ObjectTable::List(std::string_view prefix) const {
  std::vector<StoredObject> objects;
  for (auto it = objects_.lower_bound(std::string(prefix));
       it != objects_.end() && it->first.starts_with(prefix); ++it) {
    objects.push_back(
        {.key = it->first, .value = "", .version = it->second.version});
  }
  return objects;
}

Result<StoredObject> ObjectTable::Put(const std::string& key,
                                      std::string value) {
  if (value.size() > kMaxObjectBytes) {
    return MakeError(ErrorCode::kInvalidArgument, "write object",
                     key + " has " + std::to_string(value.size()) +
                         " bytes; at most " + std::to_string(kMaxObjectBytes) +
                         " are allowed");
  }
  const std::uint64_t version = ++last_version_;
  objects_[key] = {.key = key, .value = std::move(value), .version = version};
  return StoredObject{.key = key, .value = "", .version = version};
}

}  // namespace flamingogauge
