#ifndef FLAMINGOGAUGE_PLUGINS_DIRECTORY_RELAY_CONNECTION_H_
#define FLAMINGOGAUGE_PLUGINS_DIRECTORY_RELAY_CONNECTION_H_

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <string>

#include "protocol/directory.capnp.h"

namespace flamingogauge {

// Returns the address of the other end, without its port; empty if it is not an
// IPv4 connection.
std::string PeerIpOf(kj::AsyncIoStream& stream);

// A connection between two hosts' relays. Used on the thread of its event loop.
class RelayConnection : public kj::Refcounted {
 public:
  // The side that asks.
  explicit RelayConnection(kj::Own<kj::AsyncIoStream> stream);
  // The side that serves `server`.
  RelayConnection(kj::Own<kj::AsyncIoStream> stream,
                  wire::DirectoryRelay::Client server);

  // Connects to "ip:port".
  static kj::Promise<kj::Own<RelayConnection>> Open(kj::Network& network,
                                                    const std::string& address);

  // The interface of the other end; only on the side that asks. Calls fail once
  // the connection has ended.
  wire::DirectoryRelay::Client& client() { return client_; }
  kj::Promise<void> OnDisconnect() { return network_.onDisconnect(); }
  kj::Own<RelayConnection> AddRef() { return kj::addRef(*this); }

 private:
  kj::Own<kj::AsyncIoStream> stream_;
  capnp::TwoPartyVatNetwork network_;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc_;
  wire::DirectoryRelay::Client client_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_DIRECTORY_RELAY_CONNECTION_H_
