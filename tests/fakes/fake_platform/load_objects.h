#ifndef FLAMINGOGAUGE_TESTS_FAKES_FAKE_PLATFORM_LOAD_OBJECTS_H_
#define FLAMINGOGAUGE_TESTS_FAKES_FAKE_PLATFORM_LOAD_OBJECTS_H_

#include <string>
#include <vector>

#include "libs/kernel/error.h"
#include "libs/services/object_store.h"

namespace flamingogauge {

// Reads objects from a directory, using each file's relative path as its key,
// or from a JSON file that contains a complete document or maps keys to values.
Result<std::vector<StoredObject>> LoadObjects(const std::string& path);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_FAKES_FAKE_PLATFORM_LOAD_OBJECTS_H_
