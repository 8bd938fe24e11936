#ifndef FLAMINGOGAUGE_LIBS_MEMBERSHIP_HEARTBEAT_H_
#define FLAMINGOGAUGE_LIBS_MEMBERSHIP_HEARTBEAT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libs/model/member.h"

namespace flamingogauge {

// State of one member as exchanged between hosts.
struct MemberEntry {
  Member member;
  // Orders the incarnations of a host: wall-clock time of the process start in
  // milliseconds. The process raises it if the clock of an earlier incarnation
  // was ahead.
  std::uint64_t epoch = 0;
  // Data centres that this member cannot reach; set only by gateways.
  std::vector<DataCentreId> unreachable;
};

// Message exchanged between two hosts, used for both request and reply. Changes
// carry the sequence numbers of the sender's log. The receiver acknowledges
// them, so the sender repeats a change only until it has been received.
struct Heartbeat {
  HostId from;
  Incarnation incarnation;
  std::uint64_t counter = 0;
  std::uint64_t document_revision = 0;
  // `changes` contains all entries changed after `base`, up to `sequence`.
  std::uint64_t base = 0;
  std::uint64_t sequence = 0;
  // Sequence number of the newest change in the sender's log.
  std::uint64_t log_head = 0;
  // Highest sequence number of the receiver's log that the sender has received.
  // Valid only if `acknowledged_incarnation` equals the low half of the
  // receiver's incarnation.
  std::uint64_t acknowledged = 0;
  std::uint64_t acknowledged_incarnation = 0;
  // Digest of the sender's table; hosts with equal digests exchange no changes.
  std::uint64_t digest = 0;
  std::vector<MemberEntry> changes;
};

// Heartbeat to send now. The reply is passed to Membership::OnReply.
struct HeartbeatAction {
  std::string address;
  // Empty if only the address is known.
  HostId host;
  // True after a period without messages, because the old connection may be
  // broken without having reported an error.
  bool needs_new_connection = false;
  Heartbeat message;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_MEMBERSHIP_HEARTBEAT_H_
