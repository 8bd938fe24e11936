#include "tests/auto/peers/silent_proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <cstdlib>

namespace flamingogauge {
namespace {

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

bool IsReadable(int fd) {
  pollfd it{.fd = fd, .events = POLLIN, .revents = 0};
  return poll(&it, 1, 0) > 0;
}

}  // namespace

SilentProxy::SilentProxy()
    : listen_fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in address = Loopback(0);
  if (bind(listen_fd_, reinterpret_cast<sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listen_fd_, 16) != 0) {
    std::abort();
  }
  socklen_t length = sizeof(address);
  getsockname(listen_fd_, reinterpret_cast<sockaddr*>(&address), &length);
  port_ = ntohs(address.sin_port);
  thread_ = std::thread([this] { Run(); });
}

SilentProxy::~SilentProxy() {
  is_stopping_ = true;
  thread_.join();
  for (const Pair& it : pairs_) {
    close(it.client);
    close(it.server);
  }
  close(listen_fd_);
}

std::string SilentProxy::address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

void SilentProxy::Accept() {
  const int client = accept(listen_fd_, nullptr, nullptr);
  const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(target_port_);
  if (connect(server, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(client);
    close(server);
    return;
  }
  pairs_.push_back({accepted_++, client, server});
}

bool SilentProxy::Forward(int from, int to) {
  std::array<char, 65536> buf{};
  const ssize_t n = read(from, buf.data(), buf.size());
  return n > 0 && write(to, buf.data(), static_cast<std::size_t>(n)) == n;
}

void SilentProxy::Run() {
  while (!is_stopping_) {
    if (IsReadable(listen_fd_)) {
      Accept();
    }
    for (std::size_t n = 0; n < pairs_.size(); ++n) {
      const Pair it = pairs_[n];
      if (it.number < silenced_before_) {
        continue;
      }
      if ((IsReadable(it.client) && !Forward(it.client, it.server)) ||
          (IsReadable(it.server) && !Forward(it.server, it.client))) {
        close(it.client);
        close(it.server);
        pairs_.erase(pairs_.begin() + static_cast<std::ptrdiff_t>(n));
        break;
      }
    }
    usleep(500);
  }
}

}  // namespace flamingogauge
