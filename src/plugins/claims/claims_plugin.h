#ifndef FLAMINGOGAUGE_PLUGINS_CLAIMS_CLAIMS_PLUGIN_H_
#define FLAMINGOGAUGE_PLUGINS_CLAIMS_CLAIMS_PLUGIN_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "libs/kernel/plugin.h"
#include "libs/services/claim_service.h"
#include "plugins/claims/claims_settings.h"

namespace flamingogauge {

class ClaimsWorker;

// Ensures that non-idempotent requests are executed at most once, by means of
// claims in the platform's store. Requires the service "platform.store". Uses
// "peers.membership", if registered, to determine whether the owner of a claim
// is alive.
class ClaimsPlugin : public Plugin, public ClaimService {
 public:
  explicit ClaimsPlugin(ClaimsSettings settings);
  ~ClaimsPlugin() override;

  std::string_view Name() const override;
  Result<void> Initialize(ServiceRegistry& registry) override;
  Result<void> ExtensionsInitialized(ServiceRegistry& registry) override;
  void AboutToShutdown(std::function<void()> done) override;
  std::string DumpState() const override;

  void Acquire(ClaimRequest request, AcquireCallback callback) override;
  void Abandon(RequestId id) override;
  void Release(RequestId id, ReleaseCallback callback) override;
  void Record(RequestId id, RecordedOutcome outcome) override;
  void LeaveUnresolved(RequestId id) override;

 private:
  ClaimsSettings settings_;
  std::unique_ptr<ClaimsWorker> worker_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CLAIMS_CLAIMS_PLUGIN_H_
