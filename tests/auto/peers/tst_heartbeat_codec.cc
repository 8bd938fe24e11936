#include <doctest/doctest.h>

#include "plugins/peers/heartbeat_codec.h"

namespace flamingogauge {
namespace {

// Guards against a field that is lost in encoding, against accepting malformed
// bytes, and against a heartbeat without changes that exceeds its size limit.
TEST_CASE("Heartbeats survive encoding and stay small") {
  Heartbeat heartbeat{.from = "aarhus-12",
                      .incarnation = {.high = ~0ULL, .low = ~1ULL},
                      .counter = 3,
                      .document_revision = 4,
                      .base = 5,
                      .sequence = 6,
                      .log_head = 7,
                      .acknowledged = 8,
                      .acknowledged_incarnation = ~2ULL,
                      .digest = ~3ULL,
                      .changes = {}};
  // A gateway sends 28 a second: 2.5 KB/s.
  CHECK(EncodeHeartbeat(heartbeat).size() <= 90);
  MemberEntry entry;
  entry.member = {.host = "odense-1",
                  .data_centre = "odense",
                  .region = "fyn",
                  .peer_address = "10.0.0.1:80",
                  .incarnation = {.high = 10, .low = 11},
                  .state = MemberState::kLeaving,
                  .entry_version = 12,
                  .document_revision = 13};
  entry.epoch = 14;
  entry.unreachable = {"aalborg", "aarhus"};
  heartbeat.changes = {entry};
  const Heartbeat read = DecodeHeartbeat(EncodeHeartbeat(heartbeat)).value();
  CHECK(read.from == heartbeat.from);
  CHECK(read.incarnation.low == heartbeat.incarnation.low);
  CHECK(read.counter == 3);
  CHECK(read.document_revision == 4);
  CHECK(read.base == 5);
  CHECK(read.sequence == 6);
  CHECK(read.log_head == 7);
  CHECK(read.acknowledged == 8);
  CHECK(read.acknowledged_incarnation == ~2ULL);
  CHECK(read.digest == heartbeat.digest);
  REQUIRE(read.changes.size() == 1);
  const MemberEntry& change = read.changes[0];
  CHECK(change.member.host == "odense-1");
  CHECK(change.member.data_centre == "odense");
  CHECK(change.member.region == "fyn");
  CHECK(change.member.peer_address == "10.0.0.1:80");
  CHECK(change.member.incarnation.high == 10);
  CHECK(change.member.state == MemberState::kLeaving);
  CHECK(change.member.entry_version == 12);
  CHECK(change.member.document_revision == 13);
  CHECK(change.epoch == 14);
  CHECK(change.unreachable == entry.unreachable);
  CHECK_FALSE(DecodeHeartbeat("no message at all").has_value());
}

}  // namespace
}  // namespace flamingogauge
