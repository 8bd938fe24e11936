#include "libs/model/ids.h"

#include <array>
#include <cstdio>

namespace flamingogauge {

std::string ToString(const Incarnation& incarnation) {
  std::array<char, 33> buf{};
  std::snprintf(buf.data(), buf.size(), "%016llx%016llx",
                static_cast<unsigned long long>(incarnation.high),
                static_cast<unsigned long long>(incarnation.low));
  return buf.data();
}

std::string ToString(const RequestId& id) {
  return ToString(id.incarnation) + "-" + std::to_string(id.sequence);
}

std::string ToString(const PermitId& id) {
  return ToString(id.scheduler) + "-" + std::to_string(id.sequence);
}

}  // namespace flamingogauge
