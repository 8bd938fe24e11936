#ifndef FLAMINGOGAUGE_TESTS_SUPPORT_SCRIPTED_SERVER_H_
#define FLAMINGOGAUGE_TESTS_SUPPORT_SCRIPTED_SERVER_H_

#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace flamingogauge {

// One accepted connection of a ScriptedServer.
class ScriptedConnection {
 public:
  explicit ScriptedConnection(int fd) : fd_(fd) {}

  // Reads a request with its body. Returns the method and target of its request
  // line, or "" if the connection ends first.
  std::string ReadRequest();
  // Reads the head of a request and leaves its body unread, as far as it has
  // not arrived with the head.
  void ReadHead();
  // Reads the rest of a body of which `n` bytes were sent; false if the
  // connection ends first.
  bool ReadRestOfBody(std::size_t n);
  // Ends the sending half of the connection.
  void ShutdownSending() const;
  // The head and body of the last request read.
  const std::string& last_request() const { return last_request_; }
  // Returns false if the connection has ended.
  bool Write(std::string_view bytes) const;
  // Waits until the client closes the connection or the server stops.
  void HoldOpen() const;
  // Makes the close after the script send a TCP reset.
  void ResetOnClose() const;
  // Makes the server refuse new connections, as one whose process has ended.
  static void StopServer();

 private:
  int fd_;
  std::string buffer_;
  std::string last_request_;
};

struct ScriptedServerOptions {
  // Makes the kernel take over little of a request that is not read.
  bool has_small_buffers = false;
};

// A TCP server on a loopback port chosen by the kernel. The n-th accepted
// connection runs the n-th script and is then closed. On each further
// connection one request is answered with 404.
class ScriptedServer {
 public:
  using Script = std::function<void(ScriptedConnection&)>;

  explicit ScriptedServer(std::vector<Script> scripts,
                          const ScriptedServerOptions& options = {});
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  const std::string& address() const { return address_; }
  // Stops listening; new connections are refused.
  void StopListening();
  // The methods and targets of all requests, in the order of arrival.
  std::vector<std::string> Requests() const;
  void RecordRequest(const std::string& line);

 private:
  void Accept();

  const std::vector<Script> scripts_;
  int listen_fd_ = -1;
  std::string address_;
  mutable std::mutex mutex_;
  std::vector<std::string> requests_;
  std::vector<int> open_fds_;
  std::vector<std::thread> threads_;
  std::thread accept_thread_;
  std::mutex stop_mutex_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_SUPPORT_SCRIPTED_SERVER_H_
