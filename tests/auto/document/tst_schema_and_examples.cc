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

// Returns the sample document in canonical form, which contains all fields.
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

// Calls `visit` for each property of the schema with the JSON pointer of its
// value in the sample, and checks that the sample and the schema have the same
// fields.
void VisitProperties(
    const json& schema,
    const json& sample,
    const json::json_pointer& pointer,
    const std::function<void(const json&, const json::json_pointer&)>& visit) {
  visit(schema, pointer);
  if (schema.contains("properties")) {
    CAPTURE(pointer.to_string());
    CHECK(NamesOf(schema["properties"]) == NamesOf(sample.at(pointer)));
    for (const auto& [name, property] : schema["properties"].items()) {
      VisitProperties(property, sample, pointer / name, visit);
    }
  } else if (schema.contains("items") && !sample.at(pointer).empty()) {
    VisitProperties(schema["items"], sample, pointer / 0, visit);
  }
}

// Returns true if reading the document reports that the value at `pointer` is
// out of range.
bool IsOutOfRange(const json& document, const json::json_pointer& pointer) {
  for (const DocumentFault& it : ReadDocument(document.dump()).faults) {
    const bool is_range = it.allowed.starts_with("an integer from") ||
                          it.allowed.starts_with("a number from");
    if (is_range && "/" + it.section + it.path == pointer.to_string()) {
      return true;
    }
  }
  return false;
}

// Guards against a published schema whose fields, bounds or defaults differ
// from those of the reader.
TEST_CASE("The published schema agrees with the reader") {
  const json schema = json::parse(ReadDocs("document.schema.json"));
  const json sample = CanonicalSample();
  int bounds = 0;
  int defaults = 0;
  VisitProperties(
      schema, sample, json::json_pointer(),
      [&](const json& property, const json::json_pointer& pointer) {
        CAPTURE(pointer.to_string());
        json document = sample;
        if (property.contains("minimum")) {
          ++bounds;
          for (const char* bound : {"minimum", "maximum"}) {
            document[pointer] = property[bound];
            CHECK_FALSE(IsOutOfRange(document, pointer));
            const bool is_max = std::string_view(bound) == "maximum";
            if (property["type"] == "integer") {
              document[pointer] =
                  property[bound].get<std::int64_t>() + (is_max ? 1 : -1);
            } else {
              document[pointer] =
                  property[bound].get<double>() + (is_max ? 0.5 : -0.5);
            }
            CHECK(IsOutOfRange(document, pointer));
          }
        }
        if (property.contains("default")) {
          ++defaults;
          document = sample;
          document[pointer.parent_pointer()].erase(pointer.back());
          const ReadOutcome outcome = ReadDocument(document.dump());
          const json written =
              json::parse(JoinSections(WriteSections(outcome.document)));
          CHECK(written.at(pointer) == property["default"]);
        }
      });
  CHECK(bounds >= 20);
  CHECK(defaults >= 25);
}

// Guards against example documents that are invalid, or that do not match the
// sizes of the two deployments.
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
