#ifndef FLAMINGOGAUGE_LIBS_MEMBERSHIP_HEARTBEAT_H_
#define FLAMINGOGAUGE_LIBS_MEMBERSHIP_HEARTBEAT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libs/model/member.h"

namespace flamingogauge {

// What hosts tell each other about one member.
struct MemberEntry {
  Member member;
  // Orders the incarnations of a host: wall-clock milliseconds at its start,
  // raised by the process if a predecessor's clock was ahead.
  std::uint64_t epoch = 0;
  // Data centres that this member, a gateway, cannot reach.
  std::vector<DataCentreId> unreachable;
};

// A request between two hosts, and also its reply. Changes are numbered by
// their sender's log; the receiver acknowledges the numbers, so that each
// change is sent until it has arrived and not again.
struct Heartbeat {
  HostId from;
  Incarnation incarnation;
  std::uint64_t counter = 0;
  std::uint64_t document_revision = 0;
  // `changes` are all entries changed after `base` up to `sequence`.
  std::uint64_t base = 0;
  std::uint64_t sequence = 0;
  // The newest change in the sender's log.
  std::uint64_t log_head = 0;
  // What the sender has received of the receiver's log, if the receiver is
  // still the process whose incarnation has the low half
  // `acknowledged_incarnation`.
  std::uint64_t acknowledged = 0;
  std::uint64_t acknowledged_incarnation = 0;
  // A hash of the sender's table; equal tables need no changes.
  std::uint64_t digest = 0;
  std::vector<MemberEntry> changes;
};

// A heartbeat that the host should send now. The reply goes to OnReply.
struct HeartbeatAction {
  std::string address;
  // Empty when only the address is known.
  HostId host;
  // True after silence: the old connection may be dead without an error.
  bool needs_new_connection = false;
  Heartbeat message;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_MEMBERSHIP_HEARTBEAT_H_
