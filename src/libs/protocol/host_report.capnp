@0xb3f1c7a05d2e9481;

# The datagram in which an entry host tells others what it runs.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("flamingogauge::wire");

struct HostReport {
  host @0 :Text;
  running @1 :List(UpstreamLoad);
  demand @2 :List(WorkspaceDemand);
  brokenBy @3 :List(CrashRecord);
  # A host that leaves gets no share of limits.
  draining @4 :Bool;
}

struct UpstreamLoad {
  # Hash of the upstream's id.
  upstream @0 :UInt64;
  requests @1 :UInt16;
}

struct WorkspaceDemand {
  workspace @0 :Text;
  unitsPerSecond @1 :Float32;
}

struct CrashRecord {
  # Hash of caller, target and body.
  request @0 :UInt64;
  upstream @1 :UInt64;
}
