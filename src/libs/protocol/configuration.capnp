@0xd1b7a3f02c9e4a65;

# Payloads of the channel "configuration".

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("flamingogauge::wire");

struct ConfigurationRequest {
  # The chunks that are wanted; when empty, the manifest in force is.
  chunkHashes @0 :List(Text);
}

struct ConfigurationReply {
  # The manifest in force, empty when there is none.
  manifest @0 :Data;
  # Those of the wanted chunks that the host has and that fit in one reply.
  chunks @1 :List(Data);
}
