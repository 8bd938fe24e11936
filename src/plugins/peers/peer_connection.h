#ifndef FLAMINGOGAUGE_PLUGINS_PEERS_PEER_CONNECTION_H_
#define FLAMINGOGAUGE_PLUGINS_PEERS_PEER_CONNECTION_H_

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <string>

#include "libs/kernel/error.h"
#include "libs/model/member.h"
#include "plugins/peers/traffic.h"
#include "protocol/peer.capnp.h"

namespace flamingogauge {

// The largest payload of a call. Larger than a document chunk (256 KB), and
// small enough that a peer cannot exhaust the memory of this host.
inline constexpr std::size_t kMaxPayloadBytes = 1U << 20;

// Limits how much data the reader traverses for one received message.
capnp::ReaderOptions PeerReaderOptions();

// Disables Nagle's algorithm, which would delay small calls.
void DisableNagle(kj::AsyncIoStream& stream);

// Fills `builder` from `self`, and reads a Member back.
void WriteHostInfo(const Member& self, wire::HostInfo::Builder builder);
Member ReadHostInfo(wire::HostInfo::Reader reader);

// The reply of the called host, or the error of the call.
using CallResult = Result<std::string>;

// One outgoing, authenticated connection. Used on the peers thread only. Its
// promises are rejected with a kj exception when the connection breaks.
class PeerConnection : public kj::Refcounted {
 public:
  PeerConnection(kj::Own<kj::AsyncIoStream> stream, TrafficMeter& meter);

  // Connects to `address` and presents the token.
  static kj::Promise<kj::Own<PeerConnection>> Open(kj::Network& network,
                                                   const std::string& address,
                                                   const std::string& token,
                                                   const Member& self,
                                                   TrafficMeter& meter);

  kj::Own<PeerConnection> addRef() { return kj::addRef(*this); }

  kj::Promise<CallResult> Call(const std::string& channel,
                               const std::string& payload);

  kj::Promise<void> OnDisconnect() { return network_.onDisconnect(); }

  // The host information that the callee returned from hello().
  const Member& peer() const { return peer_; }

 private:
  kj::Promise<void> SayHello(const std::string& token, const Member& self);

  MeteredStream stream_;
  capnp::TwoPartyVatNetwork network_;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc_;
  wire::Peer::Client client_;
  Member peer_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_PEERS_PEER_CONNECTION_H_
