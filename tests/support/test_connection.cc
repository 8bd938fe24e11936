#include "tests/support/test_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <thread>
#include <utility>

#include "tests/support/small_buffers.h"

namespace flamingogauge {
namespace {

constexpr std::string_view kLineEnd = "\r\n";

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char it) {
    return static_cast<char>(std::tolower(it));
  });
  return text;
}

void ParseHead(const std::string& head, TestAnswer& answer) {
  answer.status = std::stoi(head.substr(head.find(' ') + 1));
  std::size_t begin = head.find(kLineEnd);
  while (begin != std::string::npos) {
    begin += kLineEnd.size();
    const std::size_t end = head.find(kLineEnd, begin);
    const std::string line = head.substr(begin, end - begin);
    const std::size_t colon = line.find(": ");
    if (colon != std::string::npos) {
      answer.headers[LowerCase(line.substr(0, colon))] = line.substr(colon + 2);
    }
    begin = end;
  }
}

}  // namespace

std::vector<std::string> TestAnswer::Events() const {
  constexpr std::string_view kData = "data: ";
  std::vector<std::string> events;
  std::size_t begin = 0;
  while (begin < body.size()) {
    const std::size_t end = std::min(body.find('\n', begin), body.size());
    const std::string line = body.substr(begin, end - begin);
    if (line.rfind(kData, 0) == 0) {
      events.push_back(line.substr(kData.size()));
    }
    begin = end + 1;
  }
  return events;
}

TestConnection::TestConnection(const std::string& address,
                               const TestConnectionOptions& options)
    : read_pause_(options.read_pause) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port =
      htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
  fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto time_limit = options.time_limit.count();
  const timeval limit{.tv_sec = time_limit / 1000,
                      .tv_usec = time_limit % 1000 * 1000};
  ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  ::setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  if (options.has_small_buffers) {
    UseSmallBuffers(fd_);
  }
  if (::connect(fd_, reinterpret_cast<const sockaddr*>(&target),
                sizeof(target)) != 0) {
    Close();
  }
}

TestConnection::~TestConnection() {
  Close();
}

bool TestConnection::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

bool TestConnection::ReadMore() {
  std::array<char, 65536> buf{};
  std::this_thread::sleep_for(read_pause_);
  const ssize_t n = ::recv(fd_, buf.data(), buf.size(), 0);
  if (n <= 0) {
    return false;
  }
  buffer_.append(buf.data(), static_cast<std::size_t>(n));
  return true;
}

bool TestConnection::ReadUntil(std::string_view text) {
  while (buffer_.find(text) == std::string::npos) {
    if (!ReadMore()) {
      return false;
    }
  }
  return true;
}

TestAnswer TestConnection::ReadAnswer() {
  TestAnswer answer;
  if (!ReadUntil("\r\n\r\n")) {
    return answer;
  }
  const std::size_t head_end = buffer_.find("\r\n\r\n") + 4;
  ParseHead(buffer_.substr(0, head_end), answer);
  buffer_.erase(0, head_end);
  if (answer.headers.count("content-length") > 0) {
    const std::size_t n = std::stoul(answer.headers["content-length"]);
    while (buffer_.size() < n && ReadMore()) {
    }
    answer.complete = buffer_.size() >= n;
    answer.body = buffer_.substr(0, n);
    buffer_.erase(0, std::min(n, buffer_.size()));
    return answer;
  }
  // Chunked transfer coding: a line with the hexadecimal size precedes each
  // chunk.
  while (ReadUntil(kLineEnd)) {
    const std::size_t line_end = buffer_.find(kLineEnd);
    const std::size_t n = std::stoul(buffer_.substr(0, line_end), nullptr, 16);
    const std::size_t chunk_end = line_end + 2 + n + 2;
    while (buffer_.size() < chunk_end && ReadMore()) {
    }
    if (buffer_.size() < chunk_end) {
      break;
    }
    answer.body += buffer_.substr(line_end + 2, n);
    buffer_.erase(0, chunk_end);
    if (n == 0) {
      answer.complete = true;
      break;
    }
  }
  return answer;
}

bool TestConnection::ReadsEnd() {
  std::array<char, 1> buf{};
  return buffer_.empty() && ::recv(fd_, buf.data(), buf.size(), 0) == 0;
}

std::optional<std::string> TestConnection::ReadToEnd() {
  errno = 0;
  while (ReadMore()) {
  }
  if (errno != 0) {
    return std::nullopt;
  }
  return std::exchange(buffer_, {});
}

void TestConnection::Reset() {
  const linger abort{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  Close();
}

void TestConnection::Close() {
  if (fd_ >= 0) {
    ::close(std::exchange(fd_, -1));
  }
}

std::string FormatTestRequest(const std::string& method,
                              const std::string& path,
                              const std::vector<std::string>& headers,
                              const std::string& body) {
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: test\r\n";
  for (const std::string& it : headers) {
    text += it + "\r\n";
  }
  if (!body.empty() || method == "POST") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

}  // namespace flamingogauge
