#ifndef FLAMINGOGAUGE_TESTS_FAKES_FAKE_PLATFORM_FAKE_PLATFORM_H_
#define FLAMINGOGAUGE_TESTS_FAKES_FAKE_PLATFORM_FAKE_PLATFORM_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "libs/services/host_list.h"
#include "libs/services/object_store.h"

namespace flamingogauge {

// Injected faults, set by POST /fault. Fields absent from the request are reset
// to these defaults.
struct FakePlatformFaults {
  // All calls except /fault, /calls and PUT /hosts receive 503.
  bool outage = false;
  // All calls except /fault, /calls and PUT /hosts receive no response.
  bool silent = false;
  std::chrono::milliseconds delay{0};
  // Number of next changes that are applied without a response; their
  // connections are closed.
  int lost_answers = 0;
  // Probability that a further change is applied without a response.
  double lost_answer_probability = 0;
};

// Test double of the platform: versioned objects with watches and the host
// list, served over HTTP on a loopback port that the kernel chooses.
class FakePlatform {
 public:
  explicit FakePlatform(std::uint64_t seed = 1);
  FakePlatform(const FakePlatform&) = delete;
  FakePlatform& operator=(const FakePlatform&) = delete;
  ~FakePlatform();

  // "ip:port".
  std::string address() const;

  void SetFaults(FakePlatformFaults faults);
  void SetHosts(std::vector<ListedHost> hosts);

  // Creates or replaces objects without changing the call counts.
  void Load(const std::vector<StoredObject>& objects);

  // Number of calls of a kind: "get", "create", "update", "delete",
  // "list", "watch" or "hosts".
  std::uint64_t CallCount(const std::string& kind) const;

 private:
  class Server;
  class HttpHandler;
  std::shared_ptr<Server> server_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_FAKES_FAKE_PLATFORM_FAKE_PLATFORM_H_
