#include "tests/support/free_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace flamingogauge {

std::string FreeAddress(int type) {
  const int fd = ::socket(AF_INET, type, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (::bind(fd, generic, size) != 0 ||
      ::getsockname(fd, generic, &size) != 0) {
    throw std::runtime_error("cannot bind a socket to a free loopback port");
  }
  ::close(fd);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

}  // namespace flamingogauge
