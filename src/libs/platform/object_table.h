#ifndef FLAMINGOGAUGE_LIBS_PLATFORM_OBJECT_TABLE_H_
#define FLAMINGOGAUGE_LIBS_PLATFORM_OBJECT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "libs/kernel/error.h"
#include "libs/services/object_store.h"

namespace flamingogauge {

// The largest value that the platform's store accepts, in bytes.
inline constexpr std::size_t kMaxObjectBytes = 1U << 20U;

// The versioned objects of a store, with create, update and delete conditional
// on existence or version. Not thread-safe. Errors: kNotFound, kAlreadyExists,
// kVersionMismatch, kInvalidArgument (value too large).
class ObjectTable {
 public:
  Result<StoredObject> Get(const std::string& key) const;

  // Create() and Update() return the new version and an empty value.
  Result<StoredObject> Create(const std::string& key, std::string value);
  Result<StoredObject> Update(const std::string& key,
                              std::string value,
                              std::uint64_t expected_version);
  Result<void> Delete(const std::string& key, std::uint64_t expected_version);

  // Returns the keys and versions of the matching objects, with empty values.
  std::vector<StoredObject> List(std::string_view prefix) const;

 private:
  Result<StoredObject> Put(const std::string& key, std::string value);

  std::map<std::string, StoredObject> objects_;
  // Shared by all keys, so that the version of a key also increases if the
  // object is deleted and created again.
  std::uint64_t last_version_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_PLATFORM_OBJECT_TABLE_H_
