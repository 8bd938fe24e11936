#ifndef FLAMINGOGAUGE_LIBS_MODEL_IDS_H_
#define FLAMINGOGAUGE_LIBS_MODEL_IDS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace flamingogauge {

// Identifies one process from its start to its end: 128 random bits. A process
// that replaces another on the same address has another incarnation.
struct Incarnation {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const Incarnation&) const = default;
};

// Identifies one caller's request: the incarnation of the host that accepted
// it and a counter. No other host may dispatch it.
struct RequestId {
  Incarnation incarnation;
  std::uint64_t sequence = 0;

  auto operator<=>(const RequestId&) const = default;
};

// Identifies a permit of one scheduler process.
struct PermitId {
  Incarnation scheduler;
  std::uint64_t sequence = 0;

  auto operator<=>(const PermitId&) const = default;
};

// Names from the settings or the document.
using HostId = std::string;
using DataCentreId = std::string;
using RegionId = std::string;
using WorkspaceId = std::string;
using UpstreamId = std::string;
using ModelId = std::string;
using ServiceId = std::string;

// Formats as 32 hexadecimal digits.
std::string ToString(const Incarnation& incarnation);

// Formats as the incarnation, a hyphen and the decimal sequence number.
std::string ToString(const RequestId& id);
std::string ToString(const PermitId& id);

}  // namespace flamingogauge

template <>
struct std::hash<flamingogauge::RequestId> {
  std::size_t operator()(const flamingogauge::RequestId& id) const noexcept {
    return static_cast<std::size_t>(id.incarnation.low ^
                                    (id.sequence * 0x9e3779b97f4a7c15ULL));
  }
};

template <>
struct std::hash<flamingogauge::PermitId> {
  std::size_t operator()(const flamingogauge::PermitId& id) const noexcept {
    return static_cast<std::size_t>(id.scheduler.low ^
                                    (id.sequence * 0x9e3779b97f4a7c15ULL));
  }
};

#endif  // FLAMINGOGAUGE_LIBS_MODEL_IDS_H_
