@0xb3f1c7a05d2e9481;

# The datagram in which an entry host tells others what it runs.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("flamingogauge::wire");

struct HostReport {
  host @0 :Text;
  running @1 :List(UpstreamLoad);
  usage @2 :List(WorkspaceUsage);
  brokenBy @3 :List(CrashRecord);
  # A host that leaves gets no share of limits.
  draining @4 :Bool;
  # Differs after a restart.
  process @5 :UInt64;
  # Increases with each report of the process.
  sequence @6 :UInt64;
  # Reports of other hosts that the receiver did not get itself; these forward
  # nothing.
  forwarded @7 :List(HostReport);
  # Where a host that others may not have listed yet is reached; else empty.
  reportAddress @8 :Text;
  dataCentre @9 :Text;
}

struct UpstreamLoad {
  # Hash of the upstream's id.
  upstream @0 :UInt64;
  requests @1 :UInt16;
}

struct WorkspaceUsage {
  workspace @0 :Text;
  # Units that the host's process has spent since its start.
  spent @1 :Float64;
  # What the host believes to be left for all hosts together.
  credits @2 :Float32;
}

struct CrashRecord {
  # Hash of caller, target and body.
  request @0 :UInt64;
  upstream @1 :UInt64;
}
