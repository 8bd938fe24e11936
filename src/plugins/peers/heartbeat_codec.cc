#include "plugins/peers/heartbeat_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>
#include <cstdint>

#include "plugins/peers/peer_connection.h"
#include "protocol/membership.capnp.h"

namespace flamingogauge {
namespace {

void WriteIncarnation(const Incarnation& from, wire::Bits128::Builder to) {
  to.setHigh(from.high);
  to.setLow(from.low);
}

Incarnation ReadIncarnation(wire::Bits128::Reader from) {
  return {.high = from.getHigh(), .low = from.getLow()};
}

void WriteEntry(const MemberEntry& from, wire::MemberEntry::Builder to) {
  WriteHostInfo(from.member, to.initHost());
  to.setState(static_cast<std::uint8_t>(from.member.state));
  // The field `life` of the schema holds the version of the entry.
  to.setLife(from.member.entry_version);
  to.setEpoch(from.epoch);
  to.setDocumentRevision(from.member.document_revision);
  auto unreachable =
      to.initUnreachable(static_cast<unsigned>(from.unreachable.size()));
  for (unsigned n = 0; n < from.unreachable.size(); ++n) {
    unreachable.set(n, from.unreachable[n]);
  }
}

MemberEntry ReadEntry(wire::MemberEntry::Reader from) {
  MemberEntry entry{.member = ReadHostInfo(from.getHost()),
                    .epoch = from.getEpoch(),
                    .unreachable = {}};
  // A state unknown to this version is read as kDead, the highest known value.
  entry.member.state = static_cast<MemberState>(std::min<std::uint8_t>(
      from.getState(), static_cast<std::uint8_t>(MemberState::kDead)));
  entry.member.entry_version = from.getLife();
  entry.member.document_revision = from.getDocumentRevision();
  for (const auto& it : from.getUnreachable()) {
    entry.unreachable.emplace_back(it.cStr());
  }
  return entry;
}

Heartbeat ReadHeartbeat(wire::Heartbeat::Reader from) {
  Heartbeat heartbeat{
      .from = from.getFrom().cStr(),
      .incarnation = ReadIncarnation(from.getIncarnation()),
      .counter = from.getCounter(),
      .document_revision = from.getDocumentRevision(),
      .base = from.getSequence() - from.getBaseDistance(),
      .sequence = from.getSequence(),
      .log_head = from.getSequence() + from.getHeadDistance(),
      .acknowledged = from.getAcknowledged(),
      .acknowledged_incarnation = from.getAcknowledgedIncarnation(),
      .digest = from.getDigest(),
      .changes = {}};
  for (const auto& it : from.getChanges()) {
    heartbeat.changes.push_back(ReadEntry(it));
  }
  return heartbeat;
}

}  // namespace

std::string EncodeHeartbeat(const Heartbeat& heartbeat) {
  capnp::MallocMessageBuilder message;
  auto to = message.initRoot<wire::Heartbeat>();
  to.setFrom(heartbeat.from);
  WriteIncarnation(heartbeat.incarnation, to.initIncarnation());
  to.setCounter(heartbeat.counter);
  to.setDocumentRevision(heartbeat.document_revision);
  to.setSequence(heartbeat.sequence);
  to.setBaseDistance(heartbeat.sequence - heartbeat.base);
  to.setHeadDistance(heartbeat.log_head - heartbeat.sequence);
  to.setAcknowledged(heartbeat.acknowledged);
  to.setAcknowledgedIncarnation(heartbeat.acknowledged_incarnation);
  to.setDigest(heartbeat.digest);
  auto changes =
      to.initChanges(static_cast<unsigned>(heartbeat.changes.size()));
  for (unsigned n = 0; n < heartbeat.changes.size(); ++n) {
    WriteEntry(heartbeat.changes[n], changes[n]);
  }
  kj::VectorOutputStream output;
  capnp::writePackedMessage(output, message);
  const auto chars = output.getArray().asChars();
  return {chars.begin(), chars.size()};
}

Result<Heartbeat> DecodeHeartbeat(const std::string& bytes) {
  try {
    kj::ArrayInputStream input(
        kj::StringPtr(bytes.c_str(), bytes.size()).asBytes());
    capnp::PackedMessageReader reader(input, PeerReaderOptions());
    return ReadHeartbeat(reader.getRoot<wire::Heartbeat>());
  } catch (const kj::Exception& exception) {
    return Error{.code = ErrorCode::kInvalidArgument,
                 .step = "decode heartbeat",
                 .peer = {},
                 .message = exception.getDescription().cStr()};
  }
}

}  // namespace flamingogauge
