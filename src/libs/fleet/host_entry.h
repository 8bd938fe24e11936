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

  bool operator==(const HostEntry&) const = default;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_FLEET_HOST_ENTRY_H_
