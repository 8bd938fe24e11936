#include "plugins/gateway/socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

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

}  // namespace flamingogauge
