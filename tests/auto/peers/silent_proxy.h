#ifndef FLAMINGOGAUGE_TESTS_AUTO_PEERS_SILENT_PROXY_H_
#define FLAMINGOGAUGE_TESTS_AUTO_PEERS_SILENT_PROXY_H_

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace flamingogauge {

// Forwards TCP connections to one address on loopback. Silence() stops
// forwarding on the existing connections without closing them; new ones work.
class SilentProxy {
 public:
  SilentProxy();
  SilentProxy(const SilentProxy&) = delete;
  SilentProxy& operator=(const SilentProxy&) = delete;
  ~SilentProxy();

  // "ip:port" where the proxy listens.
  std::string address() const;
  void SetTarget(int port) { target_port_ = port; }

  // All connections that exist now stop forwarding.
  void Silence() { silenced_before_ = accepted_.load(); }

 private:
  struct Pair {
    int number;
    int client;
    int server;
  };

  void Run();
  void Accept();
  // Forwards what is readable; false when the connection ended.
  static bool Forward(int from, int to);

  int listen_fd_;
  int port_ = 0;
  std::atomic<int> target_port_{0};
  std::atomic<int> accepted_{0};
  std::atomic<int> silenced_before_{0};
  std::atomic<bool> is_stopping_{false};
  std::vector<Pair> pairs_;
  std::thread thread_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_AUTO_PEERS_SILENT_PROXY_H_
