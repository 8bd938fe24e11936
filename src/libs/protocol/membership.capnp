@0x95147fe94cd9f9b7;

# Payloads of the channel "hb".

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
  sequence @4 :UInt64;
  # Sequence minus base and log head minus sequence: mostly 0, which the packed
  # encoding leaves out.
  baseDistance @5 :UInt64;
  headDistance @6 :UInt64;
  acknowledged @7 :UInt64;
  # The low half.
  acknowledgedIncarnation @8 :UInt64;
  digest @9 :UInt64;
  changes @10 :List(MemberEntry);
}
