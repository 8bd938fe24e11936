#include <doctest/doctest.h>

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

#include "platform/tolerant_json.h"

namespace flamingogauge {
namespace {

using nlohmann::json;

struct Row {
  std::string text;
  std::string expected;
};

// Guards against more being lost than the part that cannot be parsed, and
// against such a part being kept in another form.
TEST_CASE("only what cannot be parsed becomes null") {
  for (const Row& it :
       {Row{R"({"a":1})", R"({"a":1})"},
        Row{R"({"items":[{"metadata":{"name":"a"},"spec":{"x":1e999}},)"
            R"({"metadata":{"name":"b"},"spec":{"x":1}}],"storeRevision":7})",
            R"({"items":[{"metadata":{"name":"a"},"spec":null},)"
            R"({"metadata":{"name":"b"},"spec":{"x":1}}],"storeRevision":7})"},
        Row{R"({"events":[{"removed":true,"object":{"metadata":{"n":1},)"
            R"("spec":"\ud800","status":["\u0000]"]}}],"storeRevision":7})",
            R"({"events":[{"removed":true,"object":{"metadata":{"n":1},)"
            R"("spec":null,"status":["\u0000]"]}}],"storeRevision":7})"},
        Row{R"({ "items" : [ {"metadata":{"name":"\ud800"},"spec":{}} ] ,)"
            R"( "storeRevision" : 7 })",
            R"({"items":[{"metadata":null,"spec":{}}],"storeRevision":7})"},
        Row{R"({"storeRevision":1e999,"items":[]})",
            R"({"storeRevision":null,"items":[]})"}}) {
    CAPTURE(it.text);
    CHECK(ParseStoreResponse(it.text) == json::parse(it.expected));
  }
}

// Guards against a truncated response being taken for a whole one.
TEST_CASE("a response that is cut off anywhere is not parsed") {
  const std::string whole =
      R"({"items":[{"metadata":{"name":"a"},"spec":{"x":"1e999\"}"}},)"
      R"({"metadata":{"name":"b"},"spec":-1e999}],"storeRevision":71})";
  REQUIRE(ParseStoreResponse(whole)["storeRevision"] == 71);
  for (std::size_t n = 0; n < whole.size(); ++n) {
    CAPTURE(n);
    CHECK_FALSE(ParseStoreResponse(whole.substr(0, n)).is_object());
  }
}

}  // namespace
}  // namespace flamingogauge
