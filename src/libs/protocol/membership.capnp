@0x95147fe94cd9f9b7;

# Payloads of the channel "peers.membership".

using Cxx = import "/capnp/c++.capnp";
using Peer = import "peer.capnp";
$Cxx.namespace("flamingogauge::wire");

struct MemberEntry {
  host @0 :Peer.HostInfo;
  state @1 :UInt8;
  life @2 :UInt32;
  epoch @3 :UInt64;
  documentRevision @4 :UInt64;
  unreachable @5 :List(Text);
}

# A request and also its reply; see libs/membership/heartbeat.h.
struct Heartbeat {
  from @0 :Text;
  incarnation @1 :Peer.Bits128;
  counter @2 :UInt64;
  documentRevision @3 :UInt64;
  base @4 :UInt64;
  sequence @5 :UInt64;
  logHead @6 :UInt64;
  acknowledged @7 :UInt64;
  acknowledgedIncarnation @8 :Peer.Bits128;
  digest @9 :UInt64;
  changes @10 :List(MemberEntry);
}
