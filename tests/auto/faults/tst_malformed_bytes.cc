#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "libs/kernel/random.h"
#include "tests/auto/end_to_end/deployment.h"
#include "tests/fakes/fake_engine/fake_text.h"

namespace flamingogauge {
namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kConnections = 150;
constexpr std::chrono::milliseconds kReadTimeLimit{50};

// Returns a valid request with up to 8 bytes changed and possibly truncated, or
// random bytes.
std::string MalformedBytes(Random& random) {
  std::string bytes;
  if (random.NextBool(0.6)) {
    bytes = ChatRequest("malformed", random.NextBool(0.5), 3);
    for (std::uint64_t it = 1 + random.NextBelow(8); it > 0; --it) {
      bytes[random.NextBelow(bytes.size())] =
          static_cast<char>(random.NextBelow(256));
    }
    if (random.NextBool(0.3)) {
      bytes.resize(random.NextBelow(bytes.size()));
    }
    return bytes;
  }
  bytes.resize(1 + random.NextBelow(5000));
  for (char& it : bytes) {
    it = static_cast<char>(random.NextBelow(256));
  }
  return bytes;
}

// Guards against malformed input on a listening port that crashes the host or
// affects other callers.
TEST_CASE("malformed bytes on a port do not affect the hosts") {
  Deployment deployment({.hosts = 2});
  const std::string peers = deployment.host(0).peers;
  const std::string addresses[] = {deployment.host(0).callers,
                                   deployment.host(0).operators,
                                   peers.substr(0, peers.find(','))};
  MESSAGE("malformed bytes: seed " << kSeed);
  Random random(kSeed);
  for (const std::string& address : addresses) {
    CAPTURE(address);
    int sent = 0;
    for (int it = 0; it < kConnections; ++it) {
      TestConnection connection(address, {.time_limit = kReadTimeLimit});
      REQUIRE(connection.IsOpen());
      sent += connection.Send(MalformedBytes(random)) ? 1 : 0;
      if (random.NextBool(0.5)) {
        connection.Reset();
      } else if (random.NextBool(0.2)) {
        connection.ReadAnswer();
      }
    }
    CHECK(sent > kConnections / 2);
    CHECK_MESSAGE(
        !deployment.host(0).process->Wait(std::chrono::milliseconds(0)),
        deployment.host(0).process->Output());
    for (int host = 0; host < 2; ++host) {
      CHECK(Eventually([&deployment, host] {
        return AnswerText(Ask(deployment.host(host).callers,
                              ChatRequest("after", true, 5))) ==
               FakeAnswer("after", 5);
      }));
    }
  }
}

}  // namespace
}  // namespace flamingogauge
