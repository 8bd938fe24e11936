@0xb7e41c5a90d23f68;

# What hosts tell each other of the roll-outs in progress; part of their
# coordination messages.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("flamingogauge::wire");

struct RolloutReport {
  rollouts @0 :List(Rollout);
}

struct Rollout {
  service @0 :Text;
  # The version that the order moves the service to.
  target @1 :Text;
}
