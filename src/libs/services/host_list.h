#ifndef FLAMINGOGAUGE_LIBS_SERVICES_HOST_LIST_H_
#define FLAMINGOGAUGE_LIBS_SERVICES_HOST_LIST_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/kernel/error.h"
#include "libs/model/ids.h"

namespace flamingogauge {

// One entry of the platform's list of hosts, which lags behind.
struct ListedHost {
  HostId host;
  DataCentreId data_centre;
  RegionId region;
  std::string peer_address;
  bool leaving = false;
};

// The platform's list of live and leaving entry hosts.
class HostList {
 public:
  static constexpr std::string_view kServiceName = "platform.hosts";

  using Callback = std::function<void(Result<std::vector<ListedHost>>)>;

  virtual ~HostList() = default;

  // Fetches the list; the callback runs on the implementation's thread.
  virtual void Fetch(Callback callback) = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SERVICES_HOST_LIST_H_
