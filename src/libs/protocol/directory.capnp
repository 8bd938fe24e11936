@0xd2c8f0a17b3e5c94;

# Questions between entry hosts for what one of them has read from the
# platform's store.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("flamingogauge::wire");

interface DirectoryRelay {
  # Replies at once if there is news for the caller, else at the end of the
  # question's wait.
  ask @0 (question :RelayQuestion) -> (reply :RelayReply);
}

struct TableCursor {
  process @0 :UInt64;
  sequence @1 :UInt64;
}

struct RelayQuestion {
  routingVersion @0 :UInt64;
  upstreams @1 :TableCursor;
  hosts @2 :TableCursor;
  isStale @3 :Bool;
  isProbe @4 :Bool;
  waitMs @5 :UInt32;
  # The revisions of the caller's tables.
  upstreamsRevision @6 :UInt64;
  hostsRevision @7 :UInt64;
  upstreamsEra @8 :UInt64;
  hostsEra @9 :UInt64;
}

struct RelayReply {
  heldForMs @0 :UInt32;
  followsStore @1 :Bool;
  # Negative if the document was never confirmed.
  routingAgeMs @2 :Int64;
  routingVersion @3 :UInt64;
  routingRevision @4 :UInt64;
  # Null if the caller has this version.
  routing @5 :RoutingDocument;
  upstreams @6 :UpstreamPage;
  hosts @7 :HostPage;
  # The caller's address is not that of a listed host; nothing else is set.
  isCallerUnknown @8 :Bool;
  routingEra @9 :UInt64;
}

struct PageState {
  cursor @0 :TableCursor;
  storeRevision @1 :UInt64;
  isComplete @2 :Bool;
  removed @3 :List(Text);
  # The era that the revision belongs to; 0 if the store does not state it, or
  # from a host of a version that does not know eras.
  storeEra @4 :UInt64;
}

struct UpstreamPage {
  state @0 :PageState;
  entries @1 :List(ListedUpstream);
}

struct HostPage {
  state @0 :PageState;
  entries @1 :List(ListedHost);
}

struct ListedUpstream {
  id @0 :Text;
  service @1 :Text;
  address @2 :Text;
  dataCentre @3 :Text;
  slots @4 :UInt32;
  draining @5 :Bool;
  coldRemainingMs @6 :Int64;
  startedAtMs @7 :Int64;
  version @8 :Text;
}

struct ListedHost {
  name @0 :Text;
  reportAddress @1 :Text;
  dataCentre @2 :Text;
  relayAddress @3 :Text;
  capacity @4 :Float64;
}

struct RoutingDocument {
  version @0 :UInt64;
  routes @1 :List(Route);
  services @2 :List(Service);
  workspaces @3 :List(Workspace);
  maxHeaderBytes @4 :UInt64;
  maxBodyBytes @5 :UInt64;
  headerTimeoutMs @6 :Int64;
  idleTimeoutMs @7 :Int64;
}

struct Route {
  name @0 :Text;
  host @1 :Text;
  pathPrefix @2 :Text;
  # A value of the enumeration ExecutionSemantics.
  executionSemantics @3 :UInt8;
  timeoutMs @4 :Int64;
  targetLatencyMs @5 :Int64;
  maxEventGapMs @6 :Int64;
  priority @7 :Int32;
  services @8 :List(WeightedService);
  maxDispatches @9 :Int32;
  anonymous @10 :Bool;
  resumable @11 :Bool;
}

struct WeightedService {
  service @0 :Text;
  weight @1 :Float64;
}

struct Service {
  name @0 :Text;
  maxConnections @1 :Int32;
  engineSlots @2 :Int32;
  engineMemoryTokens @3 :Int64;
}

struct Workspace {
  name @0 :Text;
  hasPriority @1 :Bool;
  priority @2 :Int32;
  countsTokens @3 :Bool;
  plainTokens @4 :Float64;
  ratePerSecond @5 :Float64;
  burst @6 :Float64;
  keys @7 :List(Text);
}
