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

// What POST /fault sets; absent fields return to these defaults.
struct FakePlatformFaults {
  // All calls but /fault and /calls are answered 503.
  bool outage = false;
  // All calls but /fault and /calls are left without an answer.
  bool silent = false;
  std::chrono::milliseconds delay{0};
  // How many of the next changes take effect and are then left without an
  // answer: their connections are closed.
  int lost_answers = 0;
  // The probability that a further change loses its answer.
  double lost_answer_probability = 0;
};

// Stands in for the platform: objects with versions and watches, and the list
// of hosts, over HTTP on a loopback port that the kernel chooses.
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

  // Creates or replaces objects, without counting calls.
  void Load(const std::vector<StoredObject>& objects);

  // The number of calls of a kind: "get", "create", "update", "delete",
  // "list", "watch" or "hosts".
  std::uint64_t CallCount(const std::string& kind) const;

 private:
  class Server;
  class HttpHandler;
  std::shared_ptr<Server> server_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_FAKES_FAKE_PLATFORM_FAKE_PLATFORM_H_
