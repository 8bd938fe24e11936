#ifndef FLAMINGOGAUGE_PLUGINS_DIRECTORY_DIRECTORY_SETTINGS_H_
#define FLAMINGOGAUGE_PLUGINS_DIRECTORY_DIRECTORY_SETTINGS_H_

#include <chrono>
#include <string>

#include "libs/fleet/change_limits.h"
#include "libs/fleet/host_entry.h"
#include "libs/kernel/error.h"

namespace flamingogauge {

struct DirectorySettings {
  // This host's own entry in the store.
  HostEntry host;
  // Wait time of a watch of the routing document. In normal operation, the
  // document was last confirmed at most twice this time plus the duration of a
  // call ago.
  std::chrono::milliseconds routing_watch_wait = ChangeLimits().watch_wait();
  std::chrono::milliseconds upstreams_watch_wait{2500};
  // The interval between reads of the list of hosts.
  std::chrono::milliseconds hosts_interval{3000};
};

// Reads the --directory_* and --host_* flags and the change limits.
DirectorySettings DirectorySettingsFromFlags();

Result<void> CheckDirectorySettings(const DirectorySettings& settings);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_DIRECTORY_DIRECTORY_SETTINGS_H_
