@0xd3a1c6b25f0e4a97;

# Payloads of the channel "scheduler": one batch of messages from a host to
# another, answered by an empty payload. Times are nanoseconds.

using Cxx = import "/capnp/c++.capnp";
using Peer = import "peer.capnp";
$Cxx.namespace("flamingogauge::wire");

# A request id or a permit id.
struct SequencedId {
  incarnation @0 :Peer.Bits128;
  sequence @1 :UInt64;
}

struct SchedulerRequest {
  id @0 :SequencedId;
  target @1 :Text;
  isService @2 :Bool;
  workspace @3 :Text;
  tier @4 :UInt8;
  fingerprint @5 :Peer.Bits128;
  promptTokens @6 :UInt32;
  maxOutputTokens @7 :UInt32;
  prefixHashes @8 :List(UInt64);
  timeLeftMs @9 :Int64;
  excluded @10 :List(Text);
}

struct SchedulerOutcome {
  permit @0 :SequencedId;
  request @1 :SequencedId;
  upstream @2 :Text;
  end @3 :UInt8;
  promptTokens @4 :UInt32;
  cachedTokens @5 :UInt32;
  outputTokens @6 :UInt32;
  timeToFirstTokenUs @7 :Int64;
  totalTimeUs @8 :Int64;
}

struct SchedulerPermitInUse {
  permit @0 :SequencedId;
  request @1 :SequencedId;
  upstream @2 :Text;
  workspace @3 :Text;
  fingerprint @4 :Peer.Bits128;
  promptTokens @5 :UInt32;
  maxOutputTokens @6 :UInt32;
}

struct SchedulerMessage {
  # The group's target; empty where the message does not concern a group.
  target @0 :Text;
  union {
    # From an entry host to a scheduler.
    request @1 :SchedulerRequest;
    cancel @2 :SequencedId;
    outcome @3 :SchedulerOutcome;
    renew @4 :List(SequencedId);
    report :group {
      waiting @5 :List(SchedulerRequest);
      inUse @6 :List(SchedulerPermitInUse);
    }
    # From a scheduler to an entry host.
    grant :group {
      permit @7 :SequencedId;
      request @8 :SequencedId;
      upstream @9 :Text;
      address @10 :Text;
      # The newest clock of the entry host that the scheduler had received.
      echoNs @11 :Int64;
    }
    refuse :group {
      request @12 :SequencedId;
      kind @13 :UInt8;
      runStatus @14 :UInt8;
      message @15 :Text;
      retryAfterMs @16 :Int64;
    }
    redirect :group {
      request @17 :SequencedId;
      host @18 :Text;
    }
    # Between schedulers.
    shedQuery :group {
      query @19 :UInt64;
      tier @20 :UInt8;
    }
    shedAnswer :group {
      query @21 :UInt64;
      offers @22 :Bool;
    }
    # Between a host and the owner of a workspace limit.
    limit @23 :SchedulerLimit;
  }
}

# One step of lending. Times come back to the host that measured them.
struct SchedulerLimit {
  workspace @0 :Text;
  # 0 requests a second, 1 tokens a second.
  kind @1 :UInt8;
  amount @2 :Float64;
  timeNs @3 :Int64;
  union {
    borrow @4 :Void;
    # How long the loan lasts from timeNs.
    loanNs @5 :Int64;
    # The incarnation of the owner that asks.
    ask @6 :Peer.Bits128;
    consent @7 :Peer.Bits128;
  }
}

struct SchedulerBatch {
  # The sender's monotonic clock when the batch was sent.
  clockNs @0 :Int64;
  messages @1 :List(SchedulerMessage);
}
