#ifndef FLAMINGOGAUGE_PLUGINS_CRASHES_CRASHES_PLUGIN_H_
#define FLAMINGOGAUGE_PLUGINS_CRASHES_CRASHES_PLUGIN_H_

#include <memory>

#include "libs/kernel/plugin.h"
#include "libs/services/quarantine_service.h"
#include "plugins/crashes/crashes_settings.h"

namespace flamingogauge {

// Maintains the quarantine list of this host and replicates it. Each decision
// is sent immediately to all hosts of the data centre and to two hosts of each
// other one, which forward it within theirs. Periodic comparisons with a random
// host repair the effect of lost messages.
class CrashesPlugin : public Plugin, public QuarantineService {
 public:
  explicit CrashesPlugin(CrashesSettings settings);
  ~CrashesPlugin() override;

  std::string_view Name() const override { return "crashes"; }
  Result<void> Initialize(ServiceRegistry& registry) override;
  Result<void> ExtensionsInitialized(ServiceRegistry& registry) override;
  void AboutToShutdown(std::function<void()> done) override;
  std::string DumpState() const override;

  // QuarantineService.
  bool IsQuarantined(const Fingerprint& fingerprint) const override;
  std::vector<QuarantineEntry> List() const override;
  void Quarantine(const Fingerprint& fingerprint) override;
  bool Release(const Fingerprint& fingerprint) override;

 private:
  class Private;
  std::shared_ptr<Private> d_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CRASHES_CRASHES_PLUGIN_H_
