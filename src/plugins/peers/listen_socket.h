#ifndef FLAMINGOGAUGE_PLUGINS_PEERS_LISTEN_SOCKET_H_
#define FLAMINGOGAUGE_PLUGINS_PEERS_LISTEN_SOCKET_H_

#include "libs/kernel/error.h"
#include "plugins/peers/peers_settings.h"

namespace flamingogauge {

// A listening TCP socket that the caller owns.
struct ListenSocket {
  int fd = -1;
  // The address in use, with the port that the kernel chose.
  SocketAddress address;
};

// Binds and listens; the error names the address.
Result<ListenSocket> OpenListenSocket(const SocketAddress& address);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_PEERS_LISTEN_SOCKET_H_
