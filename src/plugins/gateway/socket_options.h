#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_SOCKET_OPTIONS_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace flamingogauge {

struct SocketOptions {
  // Bytes that are not acknowledged for this long end the connection.
  std::chrono::milliseconds unacknowledged_limit{2000};
  // An idle connection is probed after this long, and this often; three probes
  // without an answer end it.
  std::chrono::seconds probe_interval{1};
};

// Makes a connection non-blocking and sends small writes at once, and lets the
// kernel end it when the other side has gone silent: something between the two
// ends may have lost track of it, which no reset tells.
void ConfigureSocket(boost::asio::ip::tcp::socket& socket,
                     const SocketOptions& options);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_SOCKET_OPTIONS_H_
