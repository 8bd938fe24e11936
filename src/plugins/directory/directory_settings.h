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
  // True if all hosts start at the same time, for the first time. They then
  // register before they read the list of hosts, so that few of them read the
  // rest of the store.
  bool first_start = false;
  // Wait time of a watch of the routing document.
  std::chrono::milliseconds routing_watch_wait = ChangeLimits().watch_wait();
  // Wait time of a question to the host that reads the store.
  std::chrono::milliseconds relay_wait = ChangeLimits().relay_wait();
  // The age that the routing document reaches in normal operation.
  std::chrono::milliseconds normal_age = ChangeLimits().normal_age();
  std::chrono::milliseconds upstreams_watch_wait{2500};
  // The interval between reads of the list of hosts.
  std::chrono::milliseconds hosts_interval{3000};
  // True if orders to roll out a version are followed.
  bool follows_rollouts = false;
  // Wait time of a watch of these orders.
  std::chrono::milliseconds rollouts_watch_wait{5000};
};

// Reads the --directory_* and --host_* flags and the change limits.
DirectorySettings DirectorySettingsFromFlags();

Result<void> CheckDirectorySettings(const DirectorySettings& settings);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_DIRECTORY_DIRECTORY_SETTINGS_H_
