#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_SOCKET_OPTIONS_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <optional>

#include "plugins/gateway/receiver_watch.h"

namespace flamingogauge {

struct SocketOptions {
  // The connection is closed when sent bytes stay unacknowledged for this long.
  std::chrono::milliseconds unacknowledged_limit{2000};
  // Idle time before the first keep-alive probe, and the interval between
  // probes; three unanswered probes close the connection.
  std::chrono::seconds probe_interval{1};
};

// Makes the socket non-blocking, disables Nagle's algorithm, and lets the
// kernel close the connection when the peer stops responding. A middlebox can
// lose the state of a connection without sending a reset.
void ConfigureSocket(boost::asio::ip::tcp::socket& socket,
                     const SocketOptions& options);

// The limit that ConfigureSocket() has set on unacknowledged bytes, which can
// be lifted while a peer that is still there reads nothing.
class UnacknowledgedLimit {
 public:
  explicit UnacknowledgedLimit(std::chrono::milliseconds limit)
      : limit_(limit) {}

  void SetLifted(boost::asio::ip::tcp::socket& socket, bool lifted);

 private:
  const std::chrono::milliseconds limit_;
  bool is_lifted_ = false;
};

// Whether the peer has closed or reset the connection, as far as the kernel has
// been told. Works without reading what the peer has sent before.
bool HasPeerClosed(boost::asio::ip::tcp::socket& socket);

// Returns the send queue of a connected socket, or nothing if the system does
// not tell. The members are zero if all bytes have been sent once.
std::optional<SendQueue> ReadSendQueue(boost::asio::ip::tcp::socket& socket);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_SOCKET_OPTIONS_H_
