@0xb7e41c5a90d23f68;

# What hosts tell each other of the roll-outs in progress; part of their
# coordination messages. See libs/rollouts/rollout_messages.h.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("flamingogauge::wire");

struct RolloutReport {
  rollouts @0 :List(Rollout);
  # Totals; empty if the message brings none.
  evidence @1 :List(RolloutEvidence);
}

struct Rollout {
  service @0 :Text;
  # The version that the order moves the service to.
  target @1 :Text;
  order @2 :UInt64;
  revision @3 :UInt64;
  durationMs @4 :UInt32;
  ageMs @5 :UInt32;
  # Increased by one; 0 if no host has permitted trial requests.
  permissionAgeMs @6 :UInt32;
  from @7 :List(Text);
  # Values of the enumerations RolloutPhase and RolloutOutcome.
  phase @8 :UInt8;
  outcome @9 :UInt8;
  bad @10 :Bool;
  reason @11 :Text;
  withdrawn @12 :Bool;
  oldRunning @13 :UInt32;
  hostsBehind @14 :UInt32;
}

struct RolloutEvidence {
  order @0 :UInt64;
  route @1 :UInt64;
  # 0 for all upstreams of the old versions.
  upstream @2 :UInt64;
  answers @3 :UInt32;
  failures @4 :UInt32;
  durations @5 :List(UInt32);
}
