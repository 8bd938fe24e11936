#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "plugins/peers/peers_settings.h"

namespace flamingogauge {
namespace {

struct BadSetting {
  std::string flag;
  PeersSettings settings;
};

// Guards against an invalid setting that is accepted at startup and fails only
// later, and against an error that does not name the flag.
TEST_CASE("CheckPeersSettings names the flag that is wrong") {
  const std::vector<BadSetting> table{
      {"--host_id", {.host = ""}},
      {"--host_id", {.host = "a b"}},
      {"--data_centre", {.data_centre = std::string(65, 'x')}},
      {"--region", {.region = "north/south"}},
      {"--peer_listen", {.listen_address = "localhost:80"}},
      {"--peer_listen", {.listen_address = "127.0.0.1"}},
      {"--peer_listen", {.listen_address = "127.0.0.1:70000"}},
      {"--peer_advertise", {.advertised_address = "host"}},
      {"--peer_seeds", {.seeds = {"127.0.0.1:0"}}},
      {"--peer_token", {.listen_address = "0.0.0.0:0"}},
      {"--peer_queue_capacity", {.queue_capacity = 1}},
  };
  for (const BadSetting& it : table) {
    const Result<void> checked = CheckPeersSettings(it.settings);
    REQUIRE_FALSE(checked.has_value());
    CHECK(checked.error().peer == it.flag);
  }
  CHECK(CheckPeersSettings({}).has_value());
  CHECK(CheckPeersSettings({.listen_address = "[::1]:0"}).has_value());
}

}  // namespace
}  // namespace flamingogauge
