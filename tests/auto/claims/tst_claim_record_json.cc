#include <doctest/doctest.h>

#include <string>

#include "plugins/claims/claim_record_json.h"

namespace flamingogauge {
namespace {

// Guards against recorded responses that are changed or lost between two hosts.
TEST_CASE("A claim record is unchanged after a JSON round trip") {
  struct Row {
    const char* name;
    std::string body;
    bool kept;
  };
  const Row rows[] = {
      {"text", "{\"booking\":\"\xc3\xa5\"}", true},
      {"not UTF-8", "\xff\xfe", false},
      {"largest", std::string(kMaxKeptBodyBytes, 'a'), true},
      {"too large", std::string(kMaxKeptBodyBytes + 1, 'a'), false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const ClaimRecord record{
        .state = ClaimState::kDone,
        .token = {.high = ~0ULL, .low = 1},
        .owner = {.high = 2, .low = 3},
        .fingerprint = {.high = 4, .low = 5},
        .epoch = 6,
        .outcome = {.status = 201, .content_type = "text", .body = row.body}};
    const auto read = ClaimRecordFromJson(ClaimRecordToJson(record));
    REQUIRE(read.has_value());
    CHECK(read->token == record.token);
    CHECK(read->owner == record.owner);
    CHECK(read->fingerprint == record.fingerprint);
    CHECK(read->epoch == 6);
    CHECK(read->outcome.status == 201);
    CHECK(read->outcome.body_kept == row.kept);
    CHECK(read->outcome.body == (row.kept ? row.body : ""));
  }
}

// Guards against a damaged record being accepted as a claim.
TEST_CASE("Text that is not a claim record is rejected") {
  for (const char* text :
       {"", "{", "{}", "[]", "{\"state\":\"open\"}",
        "{\"state\":\"claimed\",\"token\":[1]}", "{\"state\":5}"}) {
    CAPTURE(text);
    CHECK_FALSE(ClaimRecordFromJson(text).has_value());
  }
}

}  // namespace
}  // namespace flamingogauge
