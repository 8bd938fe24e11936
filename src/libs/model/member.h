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
  // Raised by the process itself, for example to refute a verdict. A dead life
  // of an incarnation never returns.
  std::uint32_t life = 0;
  // The document revision it has in force, 0 for none.
  std::uint64_t document_revision = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_MODEL_MEMBER_H_
