#include "tests/fakes/fake_platform/load_objects.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "libs/document/document_json.h"
#include "libs/document/revision_rules.h"

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

// Converts a complete document to the objects of its first revision.
Result<std::vector<StoredObject>> LoadDocument(const std::string& path,
                                               const std::string& text) {
  const ReadOutcome outcome = ReadDocument(text);
  if (!outcome.faults.empty()) {
    const DocumentFault& fault = outcome.faults.front();
    return LoadError(path,
                     fault.section + fault.path + " must be " + fault.allowed);
  }
  std::vector<StoredObject> objects;
  for (DocumentObject& it : FirstRevision(outcome.document, "fake_platform")) {
    objects.push_back(
        {.key = std::move(it.key), .value = std::move(it.value), .version = 0});
  }
  return objects;
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
    return LoadError(path, "must be a file or a directory");
  }
  const auto json = nlohmann::json::parse(ReadFile(path), nullptr, false);
  if (!json.is_object()) {
    return LoadError(path, "must be a JSON object that maps keys to values");
  }
  if (json.contains("tiers")) {
    return LoadDocument(path, json.dump());
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
