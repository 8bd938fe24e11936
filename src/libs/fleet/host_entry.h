#ifndef FLAMINGOGAUGE_LIBS_FLEET_HOST_ENTRY_H_
#define FLAMINGOGAUGE_LIBS_FLEET_HOST_ENTRY_H_

#include <string>

namespace flamingogauge {

// A host as registered in the platform's store.
struct HostEntry {
  std::string name;
  // "ip:port" on which the host receives load reports over UDP.
  std::string report_address;
  std::string data_centre;
  // "ip:port" at which other hosts ask for what the host has read from the
  // store; empty if it does not answer such questions.
  std::string relay_address;
  // The share of a processor core that the host may use.
  double capacity = 0;

  bool operator==(const HostEntry&) const = default;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_FLEET_HOST_ENTRY_H_
