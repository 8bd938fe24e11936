@0xa7d94c1b60f2e835;

# The datagrams between the hosts of a deployment and their coordinators; see
# libs/coordination/coordination_messages.h. Upstreams are hashes of their ids.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("flamingogauge::wire");
using Rollouts = import "rollouts.capnp";

struct CoordinationDatagram {
  union {
    host @0 :HostMessage;
    reply @1 :CoordinatorMessage;
    # For the hosts of the coordinator's data centre.
    summary @2 :FleetSummary;
    # For the coordinators of other data centres.
    report @3 :FleetSummary;
  }
}

struct UpstreamLoad {
  upstream @0 :UInt64;
  requests @1 :UInt16;
}

struct WorkspaceUsage {
  workspace @0 :Text;
  spent @1 :Float64;
  credits @2 :Float32;
}

struct CrashRecord {
  # Hash of caller, target and body.
  request @0 :UInt64;
  upstream @1 :UInt64;
  ageMs @2 :UInt32;
  promptParts @3 :List(UInt64);
}

struct SuspectKey {
  # A value of the enumeration SuspectKey::Kind.
  kind @0 :UInt8;
  id @1 :UInt64;
}

struct SoundKey {
  key @0 :SuspectKey;
  ageMs @1 :UInt32;
}

struct QuarantinedKey {
  key @0 :SuspectKey;
  ageMs @1 :UInt32;
  strikes @2 :UInt8;
}

struct PromptPart {
  id @0 :UInt64;
  tokens @1 :Float32;
}

struct PlacementRequest {
  ticket @0 :UInt64;
  service @1 :Text;
  priority @2 :Int32;
  waitedMs @3 :Int32;
  dueInMs @4 :Int32;
  startInMs @5 :Int32;
  deadlineInMs @6 :Int32;
  promptTokens @7 :Float32;
  expectedOutputTokens @8 :Float32;
  promptParts @9 :List(PromptPart);
  wasSent @10 :Bool;
  excludedUpstreams @11 :List(UInt64);
  # Hash of the workspace's name; 0 on anonymous routes.
  workspace @12 :UInt64;
  # The caller was refused before and returns as it was told.
  returned @13 :Bool;
}

struct UpstreamResult {
  number @0 :UInt64;
  upstream @1 :UInt64;
  # A value of the enumeration DispatchResult.
  result @2 :UInt8;
  eventIntervalSeconds @3 :Float32;
  # From sending the request to the first event; 0 if it was not measured.
  firstEventSeconds @4 :Float32;
  promptTokens @5 :Float32;
}

struct UpstreamPace {
  upstream @0 :UInt64;
  # How many requests it answers at a time as promised.
  requests @1 :Float32;
  # Of the newest answer that the pace was learned from.
  ageMs @2 :UInt32;
}

struct RateLimit {
  upstream @0 :UInt64;
  # From all hosts together; negative if it no longer states a limit.
  requestsPerSecond @1 :Float64;
  # Of the response that said so.
  ageMs @2 :UInt32;
}

struct HostMessage {
  host @0 :Text;
  dataCentre @1 :Text;
  address @2 :Text;
  process @3 :UInt64;
  sequence @4 :UInt64;
  draining @5 :Bool;
  running @6 :List(UpstreamLoad);
  coordinatorProcess @7 :UInt64;
  lastGrant @8 :UInt64;
  waiting @9 :List(UInt64);
  requests @10 :List(PlacementRequest);
  results @11 :List(UpstreamResult);
  usage @12 :List(WorkspaceUsage);
  crashes @13 :List(CrashRecord);
  sound @14 :List(SoundKey);
  quarantined @15 :List(QuarantinedKey);
  rollouts @16 :Rollouts.RolloutReport;
  rateLimits @17 :List(RateLimit);
}

struct PlacementGrant {
  ticket @0 :UInt64;
  upstream @1 :UInt64;
  number @2 :UInt64;
}

struct PlacementRefusal {
  ticket @0 :UInt64;
  retryAfterMs @1 :UInt32;
  reason @2 :Text;
}

struct CoordinatorMessage {
  coordinator @0 :Text;
  process @1 :UInt64;
  grants @2 :List(PlacementGrant);
  refusals @3 :List(PlacementRefusal);
  queued @4 :List(UInt64);
  unknown @5 :List(UInt64);
  # The process of the receiving host that the reply is for.
  hostProcess @6 :UInt64;
}

struct FleetSummary {
  coordinator @0 :Text;
  dataCentre @1 :Text;
  process @2 :UInt64;
  sequence @3 :UInt64;
  draining @4 :Bool;
  running @5 :List(UpstreamLoad);
  usage @6 :List(WorkspaceUsage);
  reachableHosts @7 :UInt32;
  drainingHosts @8 :List(Text);
  crashes @9 :List(CrashRecord);
  sound @10 :List(SoundKey);
  quarantined @11 :List(QuarantinedKey);
  rollouts @12 :Rollouts.RolloutReport;
  # Only those that have changed lately.
  paces @13 :List(UpstreamPace);
  # The process of the receiving host that the summary is for; 0 if the receiver
  # is another coordinator.
  hostProcess @14 :UInt64;
  rateLimits @15 :List(RateLimit);
}
