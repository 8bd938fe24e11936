#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "libs/document/document_json.h"
#include "libs/document/text_rules.h"
#include "tests/auto/document/sample_document.h"

namespace flamingogauge {
namespace {

std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = kSampleDocument;
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

// Guards against fields that are lost or changed by serialization.
TEST_CASE("A document is unchanged after writing and reading") {
  const ReadOutcome first = ReadDocument(kSampleDocument);
  REQUIRE(first.faults.empty());
  CHECK(first.document.tiers[1].deadline == std::chrono::milliseconds(120000));
  CHECK(first.document.upstreams[1].kind == UpstreamKind::kService);
  CHECK(first.document.links[0].budget_bytes_per_second == 3750000);
  CHECK(first.document.limits.claims_per_second == 50);
  const std::string text = JoinSections(WriteSections(first.document));
  const ReadOutcome second = ReadDocument(text);
  REQUIRE(second.faults.empty());
  CHECK(JoinSections(WriteSections(second.document)) == text);
}

// Guards against invalid documents that are accepted, and against faults that
// do not state the section, path, value and allowed values.
TEST_CASE("Reading names each fault") {
  struct Row {
    std::string from;
    std::string to;
    std::string section;
    std::string path;
    std::string value;
    std::string allowed;  // substring of the message
  };
  const std::vector<Row> rows = {
      {R"("name": "urgent")", R"("name": "")", "tiers", "/0/name", R"("")",
       "1 to 128"},
      {R"("deadline_ms": 120000)", R"("deadline_ms": 0)", "tiers",
       "/1/deadline_ms", "0", "from 1 to 86400000 milliseconds"},
      {R"("deadline_ms": 120000)", R"("deadline_ms": -5)", "tiers",
       "/1/deadline_ms", "-5", "integer"},
      {R"("deadline_ms": 120000)", R"("deadline_ms": 1.5)", "tiers",
       "/1/deadline_ms", "1.5", "integer"},
      {R"("deadline_ms": 120000)", R"("deadline_ms": 10)", "tiers",
       "/1/deadline_ms", "10", "at least first_token_target_ms"},
      {R"("deadline_ms": 120000)", R"("deadlin_ms": 9)", "tiers",
       "/1/deadlin_ms", "9", R"(did you mean "deadline_ms"?)"},
      {R"("name": "urgent")", R"("name": "normal")", "tiers", "/1/name",
       "normal", "no other"},
      {R"("default_tier": 1)", R"("default_tier": 3)", "workspaces",
       "/0/default_tier", "3", "number of tiers"},
      {R"("highest_tier": 0)", R"("highest_tier": 2)", "workspaces",
       "/0/highest_tier", "2", "at most default_tier"},
      {R"("key_hashes": [])", R"("key_hashes": ["ABC"])", "workspaces",
       "/0/key_hashes/0", R"("ABC")", "SHA-256"},
      {R"("id": "m1")", R"("id": "m1", "max_context_tokens": 8)", "models",
       "/0/default_max_output_tokens", "1024", "at most max_context_tokens"},
      {R"("targets": ["m1"])", R"("targets": ["m2"])", "upstreams",
       "/0/targets/0", "m2", R"(did you mean "m1"?)"},
      {R"("targets": ["m1"])", R"("targets": [])", "upstreams", "/0/targets",
       "[]", "1 to 64"},
      {R"("data_centre": "aarhus")", R"("data_centre": "arhus")", "upstreams",
       "/0/data_centre", "arhus", R"(did you mean "aarhus"?)"},
      {"127.0.0.1:1001", "localhost:1001", "upstreams", "/0/address",
       R"("localhost:1001")", "ip:port"},
      {"127.0.0.1:1001", "127.0.0.1:1002", "upstreams", "/1/address",
       "127.0.0.1:1002", "no other"},
      {R"("kind": "service")", R"("kind": "server")", "upstreams", "/1/kind",
       R"("server")", R"("engine" "service")"},
      {R"([{"id": "booking"}])", R"([{"id": "a/b"}, {"id": "booking"}])",
       "services", "/0/id", R"("a/b")", "letters"},
      {R"("to": "fyn")", R"("to": "jylland")", "regions", "/links/0/to",
       "jylland", "another region"},
      {R"("from": "jylland")", R"("from": "sjylland")", "regions",
       "/links/0/from", "sjylland", R"(did you mean "jylland"?)"},
      {R"("upstream": "u1")", R"("upstream": "u9")", "retirements",
       "/0/upstream", "u9", "upstreams"},
      {"2027-06-30T12:00:00Z", "2027-06-31T12:00:00Z", "retirements",
       "/0/retires_at", R"("2027-06-31T12:00:00Z")", "UTC"},
      {R"("goodput_weight": 2)", R"("goodput_weight": "2")", "policy",
       "/goodput_weight", R"("2")", "a number"},
      {R"("policy": {"goodput_weight": 2})", R"("policy": [])", "policy", "",
       "[]", "an object"},
      {R"("policy":)", R"("polcy":)", "polcy", "", "{", R"("policy")"},
      {R"("name": "urgent")", R"("name": "urgent", "name": "b")", "", "",
       "name", "at most once"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.to);
    const ReadOutcome outcome = ReadDocument(Replaced(row.from, row.to));
    bool found = false;
    for (const DocumentFault& it : outcome.faults) {
      found = found || (it.section == row.section && it.path == row.path &&
                        it.value.starts_with(row.value) &&
                        it.allowed.find(row.allowed) != std::string::npos);
    }
    CHECK(found);
    CHECK(outcome.faults.size() <= 2);
  }
}

// Guards against a reader that stops at the first fault, and against unbounded
// recursion on deeply nested text.
TEST_CASE("Reading reports all faults at once and rejects malicious text") {
  std::string text = Replaced(R"("deadline_ms": 120000)", R"("x": 1)");
  text.replace(text.find("127.0.0.1:1001"), 14, "nowhere");
  text.replace(text.find("\"fyn\"}]"), 5, "\"fun\"");
  const ReadOutcome outcome = ReadDocument(text);
  CHECK(outcome.faults.size() == 3);
  CHECK(ReadDocument("{").faults.size() == 1);
  CHECK(ReadDocument("[]").faults.size() == 1);
  CHECK_FALSE(ReadDocument(std::string(1U << 20U, '[')).faults.empty());
  const std::string deep = R"({"models": [)" + std::string(100000, '[') +
                           std::string(100000, ']') + "]}";
  CHECK_FALSE(ReadDocument(deep).faults.empty());
  CHECK(ReadDocument("{}").faults.size() == 1);  // no tiers
}

// Guards against an older version of the program that cannot read a revision
// with fields of a newer one, and against edits that add unknown fields.
TEST_CASE("Unknown fields are refused only in the edited section") {
  SectionTexts sections = WriteSections(ReadDocument(kSampleDocument).document);
  sections["policy"] = R"({"weight_of_the_future": 1})";
  CHECK(ReadSections(sections).faults.empty());
  CHECK(ReadSections(sections, "models").faults.empty());
  CHECK(ReadSections(sections, "policy").faults.size() == 1);
}

// Guards against invalid times that are accepted or read as a different time.
TEST_CASE("Times in UTC are read exactly") {
  CHECK(ParseUtcTime("2027-01-31T12:00:01Z") ==
        std::chrono::seconds(1801396801));
  for (const char* it : {"", "2027-01-31", "2027-01-31T24:00:00Z",
                         "2027-02-29T00:00:00Z", "2027-01-31T12:00:00+01:00",
                         "2027-01-31T12:00:00Zx", "1969-12-31T00:00:00Z"}) {
    CAPTURE(it);
    CHECK_FALSE(ParseUtcTime(it).has_value());
  }
}

}  // namespace
}  // namespace flamingogauge
