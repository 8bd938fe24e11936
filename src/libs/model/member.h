#ifndef FLAMINGOGAUGE_LIBS_MODEL_MEMBER_H_
#define FLAMINGOGAUGE_LIBS_MODEL_MEMBER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "libs/model/ids.h"

namespace flamingogauge {

enum class MemberState { kAlive, kSuspected, kLeaving, kDead };

// For example "alive".
std::string_view ToString(MemberState state);

// One entry host as another sees it.
struct Member {
  HostId host;
  DataCentreId data_centre;
  RegionId region;
  // Where its peers plugin listens, "ip:port".
  std::string peer_address;
  Incarnation incarnation;
  MemberState state = MemberState::kAlive;
  // Version of this entry within its incarnation. Only the process itself
  // increments it, for example to refute a false suspicion. An entry that is
  // dead is replaced only by a higher version or a later incarnation.
  std::uint32_t entry_version = 0;
  // The document revision it has in force, 0 for none.
  std::uint64_t document_revision = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_MODEL_MEMBER_H_
