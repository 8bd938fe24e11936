@0xc8f9c85bb1d3dbb7;

# Calls between entry hosts. Every plugin owns a channel and the schema of its
# payloads; this interface only authenticates and carries them.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("flamingogauge::wire");

# A 128-bit incarnation or fingerprint.
struct Bits128 {
  high @0 :UInt64;
  low @1 :UInt64;
}

# How a call ended at the host that handled it.
enum CallStatus {
  ok @0;
  unknownChannel @1;
  unavailable @2;
  resourceExhausted @3;
  invalidArgument @4;
  notFound @5;
  internal @6;
}

struct HostInfo {
  host @0 :Text;
  dataCentre @1 :Text;
  region @2 :Text;
  address @3 :Text;
  incarnation @4 :Bits128;
}

interface Peer {
  # Authenticates the connection; any other call before it fails.
  hello @0 (token :Text, caller :HostInfo) -> (callee :HostInfo);

  # `message` describes a failure and is empty for ok.
  call @1 (channel :Text, payload :Data)
      -> (status :CallStatus, payload :Data, message :Text);
}
