#ifndef FLAMINGOGAUGE_PLUGINS_DIRECTORY_DIRECTORY_PLUGIN_H_
#define FLAMINGOGAUGE_PLUGINS_DIRECTORY_DIRECTORY_PLUGIN_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "libs/kernel/plugin.h"
#include "libs/services/fleet_source.h"
#include "plugins/directory/directory_settings.h"

namespace flamingogauge {

// Provides the routing document and the lists of upstreams and hosts, as read
// from the platform's store.
class DirectoryPlugin : public Plugin, public FleetSource {
 public:
  explicit DirectoryPlugin(DirectorySettings settings);
  DirectoryPlugin(const DirectoryPlugin&) = delete;
  DirectoryPlugin& operator=(const DirectoryPlugin&) = delete;
  ~DirectoryPlugin() override;

  std::string_view Name() const override { return "directory"; }
  Result<void> Initialize(ServiceRegistry& registry) override;
  Result<void> ExtensionsInitialized(ServiceRegistry& registry) override;
  Result<void> Reload() override;
  void AboutToShutdown(std::function<void()> done) override;
  std::string DumpState() const override;

  Result<void> Subscribe(Listener listener) override;
  void OnHostSilent(const std::string& host) override;
  void OnHostUnlisted(const std::string& host) override;

 private:
  struct Private;
  std::unique_ptr<Private> private_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_DIRECTORY_DIRECTORY_PLUGIN_H_
