#include "libs/document/manifest.h"

#include <nlohmann/json.hpp>

#include "libs/document/text_rules.h"

namespace flamingogauge {
namespace {

using Json = nlohmann::ordered_json;

Json WriteRecord(const RevisionRecord& it) {
  return {{"revision", it.revision},   {"edit_id", it.edit_id},
          {"author", it.author},       {"section", it.section},
          {"time_s", it.time.count()}, {"manifest", it.manifest_hash}};
}

RevisionRecord ReadRecord(const Json& json) {
  return {.revision = json.at("revision").get<std::uint64_t>(),
          .edit_id = json.at("edit_id").get<std::string>(),
          .author = json.at("author").get<std::string>(),
          .section = json.at("section").get<std::string>(),
          .time = std::chrono::seconds(json.at("time_s").get<std::int64_t>()),
          .manifest_hash = json.at("manifest").get<std::string>()};
}

// Replaces invalid UTF-8, because an author's name may contain arbitrary bytes.
std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

std::string WriteManifest(const Manifest& manifest) {
  Json sections = Json::object();
  for (const auto& [name, section] : manifest.sections) {
    sections[name] = {{"changed_in", section.changed_in},
                      {"changed_by", section.changed_by},
                      {"chunks", section.chunks}};
  }
  Json history = Json::array();
  for (const RevisionRecord& it : manifest.history) {
    history.push_back(WriteRecord(it));
  }
  return Dump({{"revision", manifest.revision},
               {"sections", std::move(sections)},
               {"history", std::move(history)}});
}

std::optional<Manifest> ReadManifest(std::string_view text) {
  try {
    const Json json = Json::parse(text);
    Manifest manifest;
    manifest.revision = json.at("revision").get<std::uint64_t>();
    for (const auto& [name, section] : json.at("sections").items()) {
      manifest.sections[name] = {
          .changed_in = section.at("changed_in").get<std::uint64_t>(),
          .changed_by = section.at("changed_by").get<std::string>(),
          .chunks = section.at("chunks").get<std::vector<std::string>>()};
    }
    for (const Json& it : json.at("history")) {
      manifest.history.push_back(ReadRecord(it));
    }
    if (manifest.revision == 0 || manifest.history.empty() ||
        manifest.history.front().revision != manifest.revision) {
      return std::nullopt;
    }
    return manifest;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::string WriteHistory(const Manifest& manifest) {
  Json array = Json::array();
  for (const RevisionRecord& it : manifest.history) {
    array.push_back({{"revision", it.revision},
                     {"author", it.author},
                     {"section", it.section},
                     {"time", FormatUtcTime(it.time)}});
  }
  return Dump(array);
}

}  // namespace flamingogauge
