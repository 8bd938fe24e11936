@0x95147fe94cd9f9b7;

# Payloads of the channel "peers.membership".

using Cxx = import "/capnp/c++.capnp";
using Peer = import "peer.capnp";
$Cxx.namespace("flamingogauge::wire");

struct Introduction {
  hosts @0 :List(Peer.HostInfo);
}
