#ifndef FLAMINGOGAUGE_APP_SETTINGS_RELOADER_H_
#define FLAMINGOGAUGE_APP_SETTINGS_RELOADER_H_

#include <string>
#include <vector>

#include "libs/kernel/error.h"

namespace flamingogauge {

// Names of the flags that a reload affected.
struct ReloadedSettings {
  std::vector<std::string> changed;
  // The subset of `changed` that takes effect only after a restart.
  std::vector<std::string> need_restart;
};

// Reads the settings of a running process again. Not thread-safe: use it on one
// thread only, and do not read flags on other threads at the same time.
class SettingsReloader {
 public:
  // `arguments` are the command line arguments; --flagfile=PATH among them
  // names the settings file.
  explicit SettingsReloader(std::vector<std::string> arguments);

  // Returns true when the settings file has changed since the last call of
  // Reload or since construction.
  bool FileHasChanged() const;

  // Sets all flags as at the start of the process. On failure restores their
  // previous values and returns an error with the name of the flag.
  Result<ReloadedSettings> Reload();

 private:
  std::string ReadFile() const;

  const std::vector<std::string> arguments_;
  std::string path_;
  std::string content_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_APP_SETTINGS_RELOADER_H_
