#ifndef FLAMINGOGAUGE_PLUGINS_CONFIGURATION_CONFIGURATION_SETTINGS_H_
#define FLAMINGOGAUGE_PLUGINS_CONFIGURATION_CONFIGURATION_SETTINGS_H_

#include <chrono>
#include <string>

#include "libs/kernel/error.h"

namespace flamingogauge {

struct ConfigurationSettings {
  // A file with a whole document that becomes the first revision if the store
  // has none; empty for none.
  std::string initial_document;
  // The text of the initial document; takes precedence over the file.
  std::string initial_document_text;
  // Time limit of an edit, including retries.
  std::chrono::milliseconds edit_time_limit{10000};
  // How long a host that starts without the store waits for its peers.
  std::chrono::milliseconds boot_round_time_limit{3000};
  // The duration of one watch of the manifest.
  std::chrono::milliseconds watch_time_limit{20000};
};

// Reads the flags --initial_document and --configuration_*.
ConfigurationSettings ConfigurationSettingsFromFlags();

// Returns an error that names the flag, its value and the allowed range.
Result<void> CheckConfigurationSettings(const ConfigurationSettings& settings);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CONFIGURATION_CONFIGURATION_SETTINGS_H_
