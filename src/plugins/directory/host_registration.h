#ifndef FLAMINGOGAUGE_PLUGINS_DIRECTORY_HOST_REGISTRATION_H_
#define FLAMINGOGAUGE_PLUGINS_DIRECTORY_HOST_REGISTRATION_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "libs/directory/versioned_table.h"
#include "libs/fleet/host_entry.h"
#include "libs/kernel/bounded_ring.h"
#include "libs/kernel/event_log.h"
#include "libs/services/fleet_store.h"
#include "plugins/directory/store_reader.h"

namespace flamingogauge {

// Keeps this host's entry in the store's list of hosts. The entry stays when
// the host stops: it usually starts again soon, and another host removes the
// entries of hosts that stay silent. Used on the directory's thread.
class HostRegistration {
 public:
  HostRegistration(HostEntry host,
                   FleetStore& store,
                   EventLog& log,
                   std::shared_ptr<BoundedRing<DirectoryTask>> ring);
  HostRegistration(const HostRegistration&) = delete;
  HostRegistration& operator=(const HostRegistration&) = delete;

  // Writes the entry unless `listed` has it. `listed` is null as long as no
  // list has been read; then the entry is written if `is_first_start`.
  void Update(const VersionedTable<HostEntry>::Entries* listed,
              bool is_first_start,
              MonotonicTime now);
  // The newest era of the store that is known. A store that has come back from
  // an older copy may lack the entry, so that it is written again.
  void OnEra(std::uint64_t era, MonotonicTime now);
  // The time at which Update has something to do without an event.
  MonotonicTime WakeAt() const {
    return in_flight_ || next_attempt_at_ == MonotonicTime()
               ? MonotonicTime::max()
               : next_attempt_at_;
  }

 private:
  void Write(MonotonicTime now);

  const HostEntry host_;
  FleetStore& store_;
  EventLog& log_;
  // Shared with a store call that may complete after this object's destruction.
  std::shared_ptr<BoundedRing<DirectoryTask>> ring_;
  bool in_flight_ = false;
  std::uint64_t era_ = 0;
  // When to write the entry whatever is listed; unset if there is no need.
  std::optional<MonotonicTime> rewrite_at_;
  // Unset before the first attempt, which follows the list of hosts.
  MonotonicTime next_attempt_at_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_DIRECTORY_HOST_REGISTRATION_H_
