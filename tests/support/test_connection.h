#ifndef FLAMINGOGAUGE_TESTS_SUPPORT_TEST_CONNECTION_H_
#define FLAMINGOGAUGE_TESTS_SUPPORT_TEST_CONNECTION_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingogauge {

// An HTTP response as read from the socket.
struct TestAnswer {
  // 0 if the connection failed or timed out before the head was complete.
  int status = 0;
  // Keyed by field name in lower case.
  std::map<std::string, std::string> headers;
  // Without the chunk framing.
  std::string body;
  // Whether the last chunk, or Content-Length bytes, have been received.
  bool complete = false;

  // Returns the `data` fields of the server-sent events in the body.
  std::vector<std::string> Events() const;
};

struct TestConnectionOptions {
  // Applies to each read and write.
  std::chrono::milliseconds time_limit = std::chrono::seconds(20);
  // Makes the kernel take over little of a response that is not read.
  bool has_small_buffers = false;
  // Time before each read, for a caller that reads slowly.
  std::chrono::milliseconds read_pause{0};
};

// A blocking client connection that gives tests access to the received bytes.
class TestConnection {
 public:
  // Connects to "ip:port".
  explicit TestConnection(const std::string& address,
                          const TestConnectionOptions& options = {});
  TestConnection(const TestConnection&) = delete;
  TestConnection& operator=(const TestConnection&) = delete;
  ~TestConnection();

  bool IsOpen() const { return fd_ >= 0; }
  bool Send(std::string_view bytes);

  // Reads one response. Bytes received after it are kept for the next call.
  TestAnswer ReadAnswer();

  // Reads until the buffered bytes contain `text`. Returns false if the
  // connection ends or a read times out first.
  bool ReadUntil(std::string_view text);

  // Waits for the peer to close the connection. Returns false if unread bytes
  // are left or the read fails or times out.
  bool ReadsEnd();

  // Reads all bytes up to the end of the connection. Returns nothing if it was
  // reset or a read timed out.
  std::optional<std::string> ReadToEnd();

  // Closes the connection with a TCP reset, as a crashed client does.
  void Reset();
  void Close();

 private:
  bool ReadMore();

  int fd_ = -1;
  const std::chrono::milliseconds read_pause_;
  std::string buffer_;
};

// Formats an HTTP/1.1 request. Content-Length is added for a POST or a body.
std::string FormatTestRequest(const std::string& method,
                              const std::string& path,
                              const std::vector<std::string>& headers,
                              const std::string& body);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_SUPPORT_TEST_CONNECTION_H_
