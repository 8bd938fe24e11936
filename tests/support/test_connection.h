#ifndef FLAMINGOGAUGE_TESTS_SUPPORT_TEST_CONNECTION_H_
#define FLAMINGOGAUGE_TESTS_SUPPORT_TEST_CONNECTION_H_

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace flamingogauge {

// An answer as it was read from the socket.
struct TestAnswer {
  // 0 when the connection ended before the head was complete.
  int status = 0;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  // Without the chunk framing.
  std::string body;
  // The last chunk, or all bytes of the announced length, arrived.
  bool complete = false;

  // The data of each server-sent event in the body.
  std::vector<std::string> Events() const;
};

// A caller's connection for tests, which sees each byte that arrives.
class TestConnection {
 public:
  // Connects to "ip:port". Each read fails after `time_limit`.
  explicit TestConnection(
      const std::string& address,
      std::chrono::milliseconds time_limit = std::chrono::seconds(20));
  TestConnection(const TestConnection&) = delete;
  TestConnection& operator=(const TestConnection&) = delete;
  ~TestConnection();

  bool IsOpen() const { return fd_ >= 0; }
  bool Send(std::string_view bytes);

  // Reads one answer; bytes after it are kept for the next call.
  TestAnswer ReadAnswer();

  // Reads until the text occurs in what was received; false at the end.
  bool ReadUntil(std::string_view text);

  // True when the other side closed and nothing more is there to read.
  bool ReadsEnd();

  // Breaks the connection with a reset, as a crashed caller does.
  void Reset();
  void Close();

 private:
  bool ReadMore();

  int fd_ = -1;
  std::string buffer_;
};

// Formats a request with a body and a length.
std::string FormatTestRequest(const std::string& method,
                              const std::string& path,
                              const std::vector<std::string>& headers,
                              const std::string& body);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_SUPPORT_TEST_CONNECTION_H_
