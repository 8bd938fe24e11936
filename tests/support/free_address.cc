#include "tests/support/free_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <stdexcept>

namespace flamingogauge {

namespace {

// Below the ports that Linux gives to outgoing connections (32768 and up),
// which the connections of tests could take before a server listens.
constexpr unsigned kFirstPort = 10000;
constexpr unsigned kPorts = 22000;
// Spreads test processes that run at the same time over the ports.
constexpr unsigned kPortsPerProcess = 131;

bool IsFree(int type, unsigned port) {
  const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  const bool is_free =
      ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  ::close(fd);
  return is_free;
}

}  // namespace

std::string FreeAddress(int type) {
  static std::atomic<unsigned> next =
      static_cast<unsigned>(::getpid()) * kPortsPerProcess;
  for (unsigned n = 0; n < kPorts; ++n) {
    const unsigned port = kFirstPort + next++ % kPorts;
    if (IsFree(type, port)) {
      return "127.0.0.1:" + std::to_string(port);
    }
  }
  throw std::runtime_error("cannot bind a socket to a free loopback port");
}

}  // namespace flamingogauge
