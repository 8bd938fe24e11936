#ifndef FLAMINGOGAUGE_PLUGINS_UPSTREAMS_UPSTREAMS_PLUGIN_H_
#define FLAMINGOGAUGE_PLUGINS_UPSTREAMS_UPSTREAMS_PLUGIN_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "libs/kernel/plugin.h"
#include "plugins/upstreams/upstreams_settings.h"

namespace flamingogauge {

class CurlUpstreamClient;
class EchoUpstreamClient;

// Registers an UpstreamClient. Polls the engines of the current document when a
// DocumentSource is registered.
class UpstreamsPlugin : public Plugin {
 public:
  explicit UpstreamsPlugin(UpstreamsSettings settings);
  ~UpstreamsPlugin() override;

  std::string_view Name() const override { return "upstreams"; }
  Result<void> Initialize(ServiceRegistry& registry) override;
  Result<void> ExtensionsInitialized(ServiceRegistry& registry) override;
  void AboutToShutdown(std::function<void()> done) override;
  std::string DumpState() const override;

 private:
  const UpstreamsSettings settings_;
  // Exactly one client is set, selected by UpstreamsSettings::echo. The
  // document listener holds a weak reference, because it cannot be
  // unsubscribed.
  std::shared_ptr<CurlUpstreamClient> curl_client_;
  std::unique_ptr<EchoUpstreamClient> echo_client_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_UPSTREAMS_UPSTREAMS_PLUGIN_H_
