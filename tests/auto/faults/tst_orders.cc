#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "tests/auto/end_to_end/deployment.h"

namespace flamingogauge {
namespace {

using nlohmann::json;

json Models(const Deployment& deployment) {
  return json::parse(Ask(deployment.engine_address(0),
                         FormatTestRequest("GET", "/models", {}, ""))
                         .body,
                     nullptr, false);
}

bool HasModels(const Deployment& deployment, const json& models) {
  const json answer = Models(deployment);
  return answer.is_object() && answer["models"] == models;
}

// Returns the index of the host that holds the orders lease, or -1.
int FindLeaseHolder(const Deployment& deployment, int hosts) {
  for (int it = 0; it < hosts; ++it) {
    const json dump =
        json::parse(deployment.AskOperators(it, "GET", "/debug/state").body,
                    nullptr, false);
    if (dump.is_object() &&
        dump["orders"].value("fencing_number", std::uint64_t{0}) > 0) {
      return it;
    }
  }
  return -1;
}

// Guards against models that are not loaded after the holder of the orders
// lease has crashed, and against a new holder whose fencing number is not
// higher than that of the previous one.
TEST_CASE(
    "another host takes over the orders after the lease holder is killed") {
  Deployment deployment({.hosts = 2,
                         .host_arguments = {"--orders_lease_ms=1500",
                                            "--orders_longest_flight_ms=500",
                                            "--orders_read_interval_ms=300",
                                            "--orders_loads_per_minute=600"}});
  REQUIRE(Eventually([&] { return HasModels(deployment, {"m"}); }));
  const int holder = FindLeaseHolder(deployment, 2);
  REQUIRE(holder >= 0);
  const std::uint64_t number = Models(deployment)["fencing_number"];
  deployment.host(holder).process->Signal(SIGKILL);
  deployment.host(holder).process->Wait(std::chrono::milliseconds(20000));
  const int other = 1 - holder;
  json document =
      json::parse(deployment.AskOperators(other, "GET", "/document").body);
  const std::uint64_t revision =
      json::parse(deployment.AskOperators(other, "GET", "/status").body)
          .at("document_revision");
  json models = document["models"];
  models.push_back(models[0]);
  models.back()["id"] = "m2";
  REQUIRE(deployment
              .AskOperators(other, "POST",
                            "/document/models?expected_revision=" +
                                std::to_string(revision) + "&author=test",
                            models.dump())
              .status == 200);
  json upstreams = document["upstreams"];
  for (json& it : upstreams) {
    if (it["id"] == "engine-1") {
      it["targets"] = {"m2"};
    }
  }
  REQUIRE(deployment
              .AskOperators(other, "POST",
                            "/document/upstreams?expected_revision=" +
                                std::to_string(revision + 1) + "&author=test",
                            upstreams.dump())
              .status == 200);
  CHECK(Eventually([&] { return HasModels(deployment, {"m2"}); }));
  CHECK(Models(deployment)["fencing_number"] > number);
}

}  // namespace
}  // namespace flamingogauge
