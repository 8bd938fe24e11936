#ifndef FLAMINGOGAUGE_APP_SETTINGS_RELOADER_H_
#define FLAMINGOGAUGE_APP_SETTINGS_RELOADER_H_

#include <string>
#include <vector>

#include "libs/kernel/error.h"

namespace flamingogauge {

// What a reload found, by flag name.
struct ReloadedSettings {
  std::vector<std::string> changed;
  // Those of `changed` that count only after a restart.
  std::vector<std::string> need_restart;
};

// Reads the settings of a running process again. Use on one thread only, and on
// none that reads flags at the same time.
class SettingsReloader {
 public:
  // `arguments` are those of the command line, from which the settings file is
  // known.
  explicit SettingsReloader(std::vector<std::string> arguments);

  // True when the settings file has changed since the last call of Reload, or
  // since the start.
  bool FileHasChanged() const;

  // Sets all flags as at a start. On an error, which names the flag, they keep
  // the values that they had.
  Result<ReloadedSettings> Reload();

 private:
  std::string ReadFile() const;

  const std::vector<std::string> arguments_;
  std::string path_;
  std::string content_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_APP_SETTINGS_RELOADER_H_
