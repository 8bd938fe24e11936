@0xc80c2fcb865f9b91;

# Payloads of the channel "crashes.quarantine".

using Cxx = import "/capnp/c++.capnp";
using Peer = import "peer.capnp";
$Cxx.namespace("flamingogauge::wire");

struct QuarantineRecord {
  fingerprint @0 :Peer.Bits128;
  version @1 :UInt64;
  isQuarantined @2 :Bool;
  origin @3 :Peer.Bits128;
  timeLeftMs @4 :UInt64;
}

# A request and also its reply. A request with records tells decisions; the
# reply holds records only if the digests differ.
struct QuarantineExchange {
  digest @0 :UInt64;
  records @1 :List(QuarantineRecord);
  # True when the receiver should tell the hosts of its data centre what is new
  # to it.
  forward @2 :Bool;
}
