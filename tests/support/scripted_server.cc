#include "tests/support/scripted_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

#include "tests/support/small_buffers.h"

namespace flamingogauge {
namespace {

// Set on each connection thread, so that ReadRequest() can record requests in
// the server.
thread_local ScriptedServer* current_server = nullptr;

}  // namespace

std::string ScriptedConnection::ReadRequest() {
  std::array<char, 4096> buf{};
  while (true) {
    const std::size_t end = buffer_.find("\r\n\r\n");
    if (end != std::string::npos) {
      const std::size_t field = buffer_.find("Content-Length: ");
      const std::size_t length =
          field < end ? std::strtoul(buffer_.c_str() + field + 16, nullptr, 10)
                      : 0;
      if (buffer_.size() >= end + 4 + length) {
        std::string line = buffer_.substr(0, buffer_.find(" HTTP/"));
        last_request_ = buffer_.substr(0, end + 4 + length);
        buffer_.erase(0, end + 4 + length);
        current_server->RecordRequest(line);
        return line;
      }
    }
    const ssize_t n = recv(fd_, buf.data(), buf.size(), 0);
    if (n <= 0) {
      return "";
    }
    buffer_.append(buf.data(), static_cast<std::size_t>(n));
  }
}

void ScriptedConnection::ReadHead() {
  std::array<char, 512> buf{};
  while (buffer_.find("\r\n\r\n") == std::string::npos) {
    const ssize_t n = recv(fd_, buf.data(), buf.size(), 0);
    if (n <= 0) {
      return;
    }
    buffer_.append(buf.data(), static_cast<std::size_t>(n));
  }
  current_server->RecordRequest(buffer_.substr(0, buffer_.find(" HTTP/")));
  buffer_.erase(0, buffer_.find("\r\n\r\n") + 4);
}

bool ScriptedConnection::ReadRestOfBody(std::size_t n) {
  std::array<char, 65536> buf{};
  while (buffer_.size() < n) {
    const ssize_t part = recv(fd_, buf.data(), buf.size(), 0);
    if (part <= 0) {
      return false;
    }
    buffer_.append(buf.data(), static_cast<std::size_t>(part));
  }
  return true;
}

void ScriptedConnection::ShutdownSending() const {
  shutdown(fd_, SHUT_WR);
}

bool ScriptedConnection::Write(std::string_view bytes) const {
  return send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(bytes.size());
}

void ScriptedConnection::HoldOpen() const {
  std::array<char, 256> buf{};
  while (recv(fd_, buf.data(), buf.size(), 0) > 0) {
  }
}

void ScriptedConnection::ResetOnClose() const {
  const linger option{.l_onoff = 1, .l_linger = 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

void ScriptedConnection::StopServer() {
  current_server->StopListening();
}

ScriptedServer::ScriptedServer(std::vector<Script> scripts,
                               const ScriptedServerOptions& options)
    : scripts_(std::move(scripts)),
      listen_fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  if (options.has_small_buffers) {
    UseSmallBuffers(listen_fd_);
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(listen_fd_, generic, size) != 0 || listen(listen_fd_, 64) != 0 ||
      getsockname(listen_fd_, generic, &size) != 0) {
    std::abort();
  }
  address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  accept_thread_ = std::thread([this] { Accept(); });
}

ScriptedServer::~ScriptedServer() {
  StopListening();
  {
    std::lock_guard<std::mutex> lock(mutex_);
    for (const int fd : open_fds_) {
      shutdown(fd, SHUT_RDWR);
    }
  }
  for (auto& it : threads_) {
    it.join();
  }
}

void ScriptedServer::StopListening() {
  std::lock_guard<std::mutex> lock(stop_mutex_);
  if (accept_thread_.joinable()) {
    shutdown(listen_fd_, SHUT_RDWR);
    accept_thread_.join();
    close(listen_fd_);
  }
}

std::vector<std::string> ScriptedServer::Requests() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return requests_;
}

void ScriptedServer::RecordRequest(const std::string& line) {
  std::lock_guard<std::mutex> lock(mutex_);
  requests_.push_back(line);
}

void ScriptedServer::Accept() {
  for (std::size_t i = 0;; ++i) {
    const int fd = accept4(listen_fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    std::lock_guard<std::mutex> lock(mutex_);
    open_fds_.push_back(fd);
    threads_.emplace_back([this, fd, i] {
      current_server = this;
      ScriptedConnection connection(fd);
      if (i < scripts_.size()) {
        scripts_[i](connection);
      } else if (!connection.ReadRequest().empty()) {
        connection.Write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
      }
      std::lock_guard<std::mutex> close_lock(mutex_);
      open_fds_.erase(std::find(open_fds_.begin(), open_fds_.end(), fd));
      close(fd);
    });
  }
}

}  // namespace flamingogauge
