#ifndef FLAMINGOGAUGE_PLUGINS_PEERS_PEER_SERVER_H_
#define FLAMINGOGAUGE_PLUGINS_PEERS_PEER_SERVER_H_

#include <kj/async-io.h>

#include <functional>
#include <string>

#include "libs/kernel/error.h"
#include "libs/model/member.h"
#include "plugins/peers/peer_connection.h"
#include "plugins/peers/traffic.h"
#include "protocol/peer.capnp.h"

namespace flamingogauge {

// Serves the Peer interface on one accepted connection. Used on the peers
// thread only.
class PeerServer final : public wire::Peer::Server {
 public:
  using Dispatch = std::function<kj::Promise<CallResult>(const Member& from,
                                                         std::string channel,
                                                         std::string payload)>;

  // `self` and `dispatch` must outlive the server.
  PeerServer(const Member& self, std::string token, const Dispatch& dispatch)
      : self_(self), token_(std::move(token)), dispatch_(dispatch) {}

  // Number of requests received, used to detect an idle connection.
  std::uint64_t requests() const { return requests_; }

 protected:
  kj::Promise<void> hello(HelloContext context) override;
  kj::Promise<void> call(CallContext context) override;

 private:
  const Member& self_;
  std::string token_;
  const Dispatch& dispatch_;
  Member caller_;
  bool is_authenticated_ = false;
  std::uint64_t requests_ = 0;
};

// Serves one accepted connection until it is closed, or until no request has
// arrived for a minute, which means that the peer is gone without closing it.
kj::Promise<void> ServeConnection(kj::Own<kj::AsyncIoStream> stream,
                                  kj::Own<PeerServer> server,
                                  TrafficMeter& meter,
                                  kj::Timer& timer);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_PEERS_PEER_SERVER_H_
