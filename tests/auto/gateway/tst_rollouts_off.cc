#include <doctest/doctest.h>

#include <string>

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

// Guards against old upstreams that stop while requests run there, since these
// are not counted once an upstream is no longer listed.
TEST_CASE("requests at upstreams that are no longer listed are counted") {
  GatewayHost* running_host = nullptr;
  std::string during;
  ScriptedServer upstream({[&running_host, &during](ScriptedConnection& it) {
    it.ReadRequest();
    running_host->RemoveUpstreams();
    during = running_host->GetStatus("/state").body;
    it.Write(UpstreamAnswer("x"));
  }});
  GatewayHost host({upstream.address()});
  running_host = &host;
  CHECK(host.SendRequest("GET", "/again/1").status == 200);
  CAPTURE(during);
  CHECK(during.find(R"("running":{"s":{"":1}})") != std::string::npos);
  CHECK(host.GetStatus("/state").body.find(R"("running":{})") !=
        std::string::npos);
}

}  // namespace
}  // namespace flamingogauge
