#include "plugins/peers/listen_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace flamingogauge {
namespace {

constexpr int kBacklog = 512;

socklen_t FillAddress(const SocketAddress& address, sockaddr_storage* storage) {
  if (address.is_ipv6) {
    auto* in6 = reinterpret_cast<sockaddr_in6*>(storage);
    in6->sin6_family = AF_INET6;
    in6->sin6_port = htons(address.port);
    inet_pton(AF_INET6, address.ip.c_str(), &in6->sin6_addr);
    return sizeof(sockaddr_in6);
  }
  auto* in4 = reinterpret_cast<sockaddr_in*>(storage);
  in4->sin_family = AF_INET;
  in4->sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &in4->sin_addr);
  return sizeof(sockaddr_in);
}

std::uint16_t BoundPort(int fd, bool is_ipv6) {
  sockaddr_storage storage{};
  socklen_t length = sizeof(storage);
  getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &length);
  return ntohs(is_ipv6
                   ? reinterpret_cast<const sockaddr_in6*>(&storage)->sin6_port
                   : reinterpret_cast<const sockaddr_in*>(&storage)->sin_port);
}

}  // namespace

Result<ListenSocket> OpenListenSocket(const SocketAddress& address) {
  const int fd = socket(address.is_ipv6 ? AF_INET6 : AF_INET,
                        SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_storage storage{};
  const socklen_t length = FillAddress(address, &storage);
  const int on = 1;
  // SO_REUSEADDR lets a restarted process bind its port while connections of
  // the previous process are still closing.
  if (fd < 0 ||
      setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
      bind(fd, reinterpret_cast<const sockaddr*>(&storage), length) != 0 ||
      listen(fd, kBacklog) != 0) {
    const std::string reason = std::strerror(errno);
    if (fd >= 0) {
      close(fd);
    }
    return Error{.code = ErrorCode::kUnavailable,
                 .step = "listen for peers",
                 .peer = ToString(address),
                 .message = reason};
  }
  ListenSocket result{.fd = fd, .address = address};
  result.address.port = BoundPort(fd, address.is_ipv6);
  return result;
}

}  // namespace flamingogauge
