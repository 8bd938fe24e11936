#include "plugins/gateway/socket_options.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <utility>

namespace flamingogauge {
namespace {

constexpr int kMaxUnansweredProbes = 3;

// Errors are ignored: without the option the connection still works, but a lost
// peer is detected later.
void SetTcpOption(int fd, int name, int value) {
  (void)::setsockopt(fd, IPPROTO_TCP, name, &value, sizeof(value));
}

}  // namespace

void ConfigureSocket(boost::asio::ip::tcp::socket& socket,
                     const SocketOptions& options) {
  boost::system::error_code ec;
  socket.non_blocking(true, ec);
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ec);
  const int fd = socket.native_handle();
  const int interval = static_cast<int>(options.probe_interval.count());
  SetTcpOption(fd, TCP_KEEPIDLE, interval);
  SetTcpOption(fd, TCP_KEEPINTVL, interval);
  SetTcpOption(fd, TCP_KEEPCNT, kMaxUnansweredProbes);
  SetTcpOption(fd, TCP_USER_TIMEOUT,
               static_cast<int>(options.unacknowledged_limit.count()));
}

void UnacknowledgedLimit::SetLifted(boost::asio::ip::tcp::socket& socket,
                                    bool lifted) {
  if (std::exchange(is_lifted_, lifted) != lifted) {
    SetTcpOption(socket.native_handle(), TCP_USER_TIMEOUT,
                 lifted ? 0 : static_cast<int>(limit_.count()));
  }
}

bool HasPeerClosed(boost::asio::ip::tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  return ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                      &size) == 0 &&
         (info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE);
}

std::optional<SendQueue> ReadSendQueue(boost::asio::ip::tcp::socket& socket) {
  const int fd = socket.native_handle();
  int unsent = 0;
  if (::ioctl(fd, SIOCOUTQNSD, &unsent) != 0) {
    return std::nullopt;
  }
  if (unsent == 0) {
    return SendQueue{};
  }
  int unacknowledged = 0;
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::ioctl(fd, SIOCOUTQ, &unacknowledged) != 0 ||
      ::getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return std::nullopt;
  }
  return SendQueue{.unsent_bytes = unsent,
                   .in_flight_bytes = unacknowledged - unsent,
                   .unanswered_probes = info.tcpi_probes};
}

}  // namespace flamingogauge
