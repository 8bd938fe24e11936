#ifndef FLAMINGOGAUGE_LIBS_SERVICES_OBJECT_STORE_H_
#define FLAMINGOGAUGE_LIBS_SERVICES_OBJECT_STORE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/kernel/error.h"

namespace flamingogauge {

// A value in the platform's store. Versions are positive and rise with each
// change of the key.
struct StoredObject {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
};

// The platform's object API. All calls return at once and invoke the callback
// exactly once, from the implementation's thread; callbacks must not block.
// Errors: kNotFound, kAlreadyExists, kVersionMismatch, kUnavailable (nothing
// was changed), kTimeout and kUnknownOutcome (a change may have taken effect),
// kResourceExhausted (the call budget of this host is spent; nothing was sent).
class ObjectStore {
 public:
  static constexpr std::string_view kServiceName = "platform.store";

  using ObjectCallback = std::function<void(Result<StoredObject>)>;
  using ListCallback = std::function<void(Result<std::vector<StoredObject>>)>;
  using VoidCallback = std::function<void(Result<void>)>;

  virtual ~ObjectStore() = default;

  virtual void Get(std::string key, ObjectCallback callback) = 0;

  // Creates the object only if the key is absent. The result holds the new
  // version and an empty value.
  virtual void Create(std::string key,
                      std::string value,
                      ObjectCallback callback) = 0;

  // Replaces the value only if the key has `expected_version`.
  virtual void Update(std::string key,
                      std::string value,
                      std::uint64_t expected_version,
                      ObjectCallback callback) = 0;

  // Deletes the object only if the key has `expected_version`.
  virtual void Delete(std::string key,
                      std::uint64_t expected_version,
                      VoidCallback callback) = 0;

  // Returns keys and versions, without values, of all keys with the prefix.
  virtual void List(std::string prefix, ListCallback callback) = 0;

  // Waits until the key's version exceeds `after_version` and returns the
  // object, or fails with kTimeout after `time_limit`. Counts as one call.
  virtual void Watch(std::string key,
                     std::uint64_t after_version,
                     std::chrono::milliseconds time_limit,
                     ObjectCallback callback) = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SERVICES_OBJECT_STORE_H_
