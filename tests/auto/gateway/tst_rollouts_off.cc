#include <doctest/doctest.h>

#include "plugins/gateway/gateway_settings.h"
#include "tests/auto/gateway/gateway_host.h"
#include "tests/support/scripted_server.h"

namespace flamingogauge {
namespace {

// Guards against parts of roll-outs that run in deployments without them.
TEST_CASE("a gateway without settings for roll-outs knows nothing of them") {
  CHECK_FALSE(GatewaySettingsFromFlags().rollouts.is_enabled());
  ScriptedServer upstream({[](ScriptedConnection& it) {
    it.ReadRequest();
    it.Write(UpstreamAnswer("x"));
  }});
  GatewayHost host({upstream.address()});
  CHECK(host.SendRequest("GET", "/again/1").status == 200);
  CHECK(host.GetStatus("/state").body.find("rollouts") == std::string::npos);
  CHECK(host.GetStatus("/metrics").body.find("rollout") == std::string::npos);
}

}  // namespace
}  // namespace flamingogauge
