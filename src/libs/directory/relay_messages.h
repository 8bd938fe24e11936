#ifndef FLAMINGOGAUGE_LIBS_DIRECTORY_RELAY_MESSAGES_H_
#define FLAMINGOGAUGE_LIBS_DIRECTORY_RELAY_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "libs/directory/versioned_table.h"
#include "libs/fleet/host_entry.h"
#include "libs/fleet/store_revision.h"
#include "libs/fleet/upstream_entry.h"
#include "libs/routing/routing_table.h"

namespace flamingogauge {

// A host's question for what another host has read from the platform's store.
struct RelayQuestion {
  // The version that the asking host has; 0 for none.
  std::uint64_t routing_version = 0;
  TableCursor upstreams;
  TableCursor hosts;
  // The store revisions of the asking host's tables; pages of older revisions
  // are of no use to it.
  StoreRevision upstreams_revision;
  StoreRevision hosts_revision;
  // True if the asking host's document is older than in normal operation, so
  // that a recent confirmation should be sent at once.
  bool is_stale = false;
  // True if only the state of the asked host is wanted, not its tables.
  bool is_probe = false;
  // How long the question may be held while there is no news.
  std::chrono::milliseconds wait{0};
};

// The reply to a RelayQuestion.
struct RelayReply {
  // True if the replying host's list of hosts does not have the asking one;
  // nothing else is set then.
  bool is_caller_unknown = false;
  // How long the question was held, by the clock of the replying host.
  std::chrono::milliseconds held_for{0};
  // True if the replying host reads the store itself and succeeds.
  bool follows_store = false;
  // The age of the newest confirmation of the routing document; empty if there
  // is none.
  std::optional<std::chrono::milliseconds> routing_age;
  // The version that `routing_age` refers to; 0 if there is none.
  std::uint64_t routing_version = 0;
  StoreRevision routing_revision;
  // Null if the asking host has this version.
  std::shared_ptr<const RoutingTable> routing;
  TablePage<UpstreamEntry> upstreams;
  TablePage<HostEntry> hosts;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DIRECTORY_RELAY_MESSAGES_H_
