#include "app/settings_reloader.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <utility>

#include "app/flag_reader.h"

namespace flamingogauge {
namespace {

constexpr char kFlagfilePrefix[] = "--flagfile=";

// Flags that take effect only after a restart: the names and addresses by which
// other processes identify this one, and the options of the object store
// client and of the dispatchers, which are created once.
const std::set<std::string>& RestartFlags() {
  static const std::set<std::string> kFlags = {
      "host_name",
      "host_data_centre",
      "host_report_address",
      "gateway_listen_address",
      "gateway_status_address",
      "gateway_upstream_start_requests",
      "fleet_store_address",
      "fleet_store_call_time_limit_ms",
      "fleet_store_calls_per_second"};
  return kFlags;
}

std::map<std::string, std::string> CurrentFlags() {
  std::map<std::string, std::string> values;
  for (const gflags::CommandLineFlagInfo& it : ProgramFlags()) {
    values[it.name] = it.current_value;
  }
  return values;
}

void SetFlags(const std::map<std::string, std::string>& values) {
  for (const auto& [name, value] : values) {
    gflags::SetCommandLineOption(name.c_str(), value.c_str());
  }
}

}  // namespace

SettingsReloader::SettingsReloader(std::vector<std::string> arguments)
    : arguments_(std::move(arguments)) {
  for (const std::string& it : arguments_) {
    if (it.rfind(kFlagfilePrefix, 0) == 0) {
      path_ = it.substr(std::string(kFlagfilePrefix).size());
    }
  }
  content_ = ReadFile();
}

std::string SettingsReloader::ReadFile() const {
  std::ifstream file(path_);
  return {std::istreambuf_iterator<char>(file), {}};
}

bool SettingsReloader::FileHasChanged() const {
  return !path_.empty() && ReadFile() != content_;
}

Result<ReloadedSettings> SettingsReloader::Reload() {
  content_ = ReadFile();
  const std::map<std::string, std::string> before = CurrentFlags();
  // Resets all flags, so that one removed from the file returns to its default.
  for (const gflags::CommandLineFlagInfo& it : ProgramFlags()) {
    gflags::SetCommandLineOption(it.name.c_str(), it.default_value.c_str());
  }
  const Result<void> read = ReadFlags(arguments_);
  if (!read) {
    SetFlags(before);
    return read.error();
  }
  ReloadedSettings settings;
  for (const auto& [name, value] : CurrentFlags()) {
    if (before.at(name) != value) {
      settings.changed.push_back(name);
      if (RestartFlags().contains(name)) {
        settings.need_restart.push_back(name);
      }
    }
  }
  return settings;
}

}  // namespace flamingogauge
