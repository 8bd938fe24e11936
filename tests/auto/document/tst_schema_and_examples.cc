#include <doctest/doctest.h>

#include <fstream>
#include <functional>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "libs/document/document_json.h"
#include "tests/auto/document/sample_document.h"

namespace flamingogauge {
namespace {

using nlohmann::json;

std::string ReadDocs(const std::string& name) {
  std::ifstream file(std::string(FLAMINGOGAUGE_DOCS) + "/" + name);
  REQUIRE(file);
  return {std::istreambuf_iterator<char>(file), {}};
}

// The sample in the canonical form, in which all fields are present.
json CanonicalSample() {
  return json::parse(
      JoinSections(WriteSections(ReadDocument(kSampleDocument).document)));
}

std::set<std::string> NamesOf(const json& object) {
  std::set<std::string> names;
  for (const auto& [name, value] : object.items()) {
    names.insert(name);
  }
  return names;
}

// Calls `visit` for each property of the schema with the place of its value in
// the sample, and checks that sample and schema have the same fields.
void Walk(
    const json& schema,
    const json& sample,
    const json::json_pointer& place,
    const std::function<void(const json&, const json::json_pointer&)>& visit) {
  visit(schema, place);
  if (schema.contains("properties")) {
    CAPTURE(place.to_string());
    CHECK(NamesOf(schema["properties"]) == NamesOf(sample.at(place)));
    for (const auto& [name, property] : schema["properties"].items()) {
      Walk(property, sample, place / name, visit);
    }
  } else if (schema.contains("items") && !sample.at(place).empty()) {
    Walk(schema["items"], sample, place / 0, visit);
  }
}

// True when reading the document finds a value out of range at the place.
bool IsOutOfRange(const json& document, const json::json_pointer& place) {
  for (const DocumentFault& it : ReadDocument(document.dump()).faults) {
    const bool is_range = it.allowed.starts_with("an integer from") ||
                          it.allowed.starts_with("a number from");
    if (is_range && "/" + it.section + it.path == place.to_string()) {
      return true;
    }
  }
  return false;
}

// Guards against a published schema whose fields, bounds or defaults differ
// from what the program accepts.
TEST_CASE("The published schema agrees with the reader") {
  const json schema = json::parse(ReadDocs("document.schema.json"));
  const json sample = CanonicalSample();
  int bounds = 0;
  int defaults = 0;
  Walk(schema, sample, json::json_pointer(),
       [&](const json& property, const json::json_pointer& place) {
         CAPTURE(place.to_string());
         json document = sample;
         if (property.contains("minimum")) {
           ++bounds;
           for (const char* bound : {"minimum", "maximum"}) {
             document[place] = property[bound];
             CHECK_FALSE(IsOutOfRange(document, place));
             const bool is_max = std::string_view(bound) == "maximum";
             if (property["type"] == "integer") {
               document[place] =
                   property[bound].get<std::int64_t>() + (is_max ? 1 : -1);
             } else {
               document[place] =
                   property[bound].get<double>() + (is_max ? 0.5 : -0.5);
             }
             CHECK(IsOutOfRange(document, place));
           }
         }
         if (property.contains("default")) {
           ++defaults;
           document = sample;
           document[place.parent_pointer()].erase(place.back());
           const ReadOutcome outcome = ReadDocument(document.dump());
           const json written =
               json::parse(JoinSections(WriteSections(outcome.document)));
           CHECK(written.at(place) == property["default"]);
         }
       });
  CHECK(bounds >= 20);
  CHECK(defaults >= 25);
}

// Guards against examples that operators copy and that are refused, or that do
// not have the sizes of the two deployments.
TEST_CASE("The examples are valid") {
  struct Row {
    const char* file;
    int engines;
    int services;
    std::size_t data_centres;
  };
  for (const Row& row : {Row{"examples/stumpfwerk.json", 12, 3, 3},
                         Row{"examples/jernpleje.json", 18, 3, 3}}) {
    CAPTURE(row.file);
    const ReadOutcome outcome = ReadDocument(ReadDocs(row.file));
    for (const DocumentFault& it : outcome.faults) {
      MESSAGE(it.section << it.path << ": " << it.value << ": " << it.allowed);
    }
    REQUIRE(outcome.faults.empty());
    int engines = 0;
    for (const UpstreamSpec& it : outcome.document.upstreams) {
      engines += it.kind == UpstreamKind::kEngine ? 1 : 0;
    }
    CHECK(engines == row.engines);
    CHECK(outcome.document.upstreams.size() ==
          static_cast<std::size_t>(row.engines + row.services));
    CHECK(outcome.document.data_centres.size() == row.data_centres);
    CHECK(outcome.document.workspaces.size() == 5);
  }
}

}  // namespace
}  // namespace flamingogauge
