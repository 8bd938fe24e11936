#ifndef FLAMINGOGAUGE_TESTS_AUTO_CROWDS_CROWD_H_
#define FLAMINGOGAUGE_TESTS_AUTO_CROWDS_CROWD_H_

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace flamingogauge {

struct CrowdOptions {
  std::string address;
  int connections = 1;
  // What each connection sends: `request`, `repeats` times.
  std::string request;
  int repeats = 1;
  // How often a connection that the host has closed is made again, at once.
  int returns = 0;
};

// Clients that send requests and never read. Their receive windows are small,
// as on a network, so that the host has to hold what they do not read. The
// connections stay open until destruction.
class Crowd {
 public:
  explicit Crowd(CrowdOptions options);
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;
  ~Crowd();

  // Sends until nothing more can be sent and `progress`, a number that grows as
  // the host works, has not changed for a while. Ends early once `has_failed`.
  void Press(const std::function<std::size_t()>& progress,
             const std::function<bool()>& has_failed);

 private:
  struct Client {
    int fd = -1;
    std::size_t sent = 0;
    int returns = 0;
  };

  void Connect(Client& client) const;
  // Sends what the socket takes. Returns the number of bytes.
  std::size_t Send(Client& client) const;
  std::size_t SendAll();

  const CrowdOptions options_;
  std::vector<Client> clients_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_AUTO_CROWDS_CROWD_H_
