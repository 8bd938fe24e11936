#include "tests/fakes/fake_platform/load_objects.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace flamingogauge {
namespace {

Error LoadError(const std::string& path, const std::string& message) {
  return Error{.code = ErrorCode::kInvalidArgument,
               .step = "load objects",
               .peer = "",
               .message = path + ": " + message};
}

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

Result<std::vector<StoredObject>> LoadObjects(const std::string& path) {
  std::vector<StoredObject> objects;
  if (std::filesystem::is_directory(path)) {
    for (const auto& it : std::filesystem::recursive_directory_iterator(path)) {
      if (it.is_regular_file()) {
        objects.push_back(
            {.key = std::filesystem::relative(it.path(), path).string(),
             .value = ReadFile(it.path()),
             .version = 0});
      }
    }
    return objects;
  }
  if (!std::filesystem::is_regular_file(path)) {
    return LoadError(path, "is neither a file nor a directory");
  }
  const auto json = nlohmann::json::parse(ReadFile(path), nullptr, false);
  if (!json.is_object()) {
    return LoadError(path, "is not a JSON object of keys and values");
  }
  for (const auto& [key, value] : json.items()) {
    objects.push_back(
        {.key = key,
         .value = value.is_string() ? value.get<std::string>() : value.dump(),
         .version = 0});
  }
  return objects;
}

}  // namespace flamingogauge
