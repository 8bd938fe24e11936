#ifndef FLAMINGOGAUGE_LIBS_SERVICES_FLEET_STORE_H_
#define FLAMINGOGAUGE_LIBS_SERVICES_FLEET_STORE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "libs/fleet/host_entry.h"
#include "libs/fleet/rollout_order.h"
#include "libs/fleet/store_revision.h"
#include "libs/fleet/upstream_entry.h"
#include "libs/kernel/error.h"
#include "libs/routing/routing_table.h"

namespace flamingogauge {

// The state of one named entry of the platform's store, or its removal.
template <typename T>
struct FleetEntry {
  std::string name;
  std::uint64_t revision = 0;
  // Null when the entry was removed, or when it cannot be read.
  std::shared_ptr<const T> value;
};

// An entry that a page left out because it cannot be read or used.
struct LeftOutEntry {
  // Empty if the name cannot be read either.
  std::string name;
  std::uint64_t revision = 0;
};

// A part of a list, or the changes since a revision.
template <typename T>
struct FleetPage {
  // Includes the left-out entries that have a name, without a value.
  std::vector<FleetEntry<T>> entries;
  std::vector<LeftOutEntry> left_out;
  // True when a list continues after the last entry.
  bool has_more = false;
  // The store's revision; changes are watched from here.
  StoreRevision store_revision;
};

// One kind of entries in the platform's store. Calls return at once; the
// callback runs once, on the store's thread, and must not block. Errors:
// kNotFound from Watch means that the history since the revision is gone;
// kResourceExhausted that the store refused the call for its rate;
// kUnavailable, kTimeout that it did not answer.
template <typename T>
class FleetTable {
 public:
  using Callback = std::function<void(Result<FleetPage<T>>)>;

  virtual ~FleetTable() = default;

  // Lists the entries after the name `after`; empty begins at the first. A
  // list that may be stale is cheap and may be seconds old.
  virtual void List(std::string after,
                    bool may_be_stale,
                    Callback callback) = 0;

  // Waits for at most `wait` until something changes after `revision`.
  virtual void Watch(std::uint64_t revision,
                     std::chrono::milliseconds wait,
                     Callback callback) = 0;
};

// The tables that entry hosts share through the platform's store.
class FleetStore {
 public:
  static constexpr std::string_view kServiceName = "platform.fleet";
  using DoneCallback = std::function<void(Result<void>)>;

  virtual ~FleetStore() = default;

  // Holds one entry, the newest routing document.
  virtual FleetTable<RoutingTable>& routing() = 0;
  virtual FleetTable<UpstreamEntry>& upstreams() = 0;
  virtual FleetTable<HostEntry>& hosts() = 0;
  // The operators' orders to roll out a version.
  virtual FleetTable<RolloutOrder>& rollouts() = 0;

  // Writes the host's own entry; replaces an older one of the same name.
  virtual void RegisterHost(const HostEntry& host, DoneCallback callback) = 0;
  virtual void RemoveHost(const std::string& name, DoneCallback callback) = 0;

  // Replaces the status of the order `name` if it still has `revision`;
  // otherwise kAlreadyExists.
  virtual void WriteRolloutStatus(const std::string& name,
                                  std::uint64_t revision,
                                  const RolloutStatus& status,
                                  DoneCallback callback) = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SERVICES_FLEET_STORE_H_
