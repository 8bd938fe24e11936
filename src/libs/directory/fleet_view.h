#ifndef FLAMINGOGAUGE_LIBS_DIRECTORY_FLEET_VIEW_H_
#define FLAMINGOGAUGE_LIBS_DIRECTORY_FLEET_VIEW_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>

#include "libs/directory/departed_upstreams.h"
#include "libs/directory/relay_messages.h"
#include "libs/directory/versioned_table.h"
#include "libs/kernel/time.h"

namespace flamingogauge {

// The parts of a FleetView that an update changed.
struct FleetChanges {
  bool routing = false;
  bool upstreams = false;
  bool hosts = false;
  bool rollouts = false;
  // A newer confirmation of the routing document.
  bool confirmation = false;
};

// What this host believes of the routing document, the upstreams and the hosts,
// whether it read them from the store or was told by another host. Neither the
// document's version nor the revision of a table ever decreases.
class FleetView {
 public:
  // `process` identifies this process to the hosts that ask it.
  explicit FleetView(std::uint64_t process);
  FleetView(const FleetView&) = delete;
  FleetView& operator=(const FleetView&) = delete;

  // Applies a document read from the store and confirmed at `confirmed_at`.
  // Returns no change for an older version.
  FleetChanges ApplyRouting(const std::shared_ptr<const RoutingTable>& routing,
                            const StoreRevision& store_revision,
                            MonotonicTime confirmed_at);
  // Replaces the entries of a table with those read from the store.
  FleetChanges ReplaceUpstreams(
      const VersionedTable<UpstreamEntry>::Entries& entries,
      const StoreRevision& store_revision,
      MonotonicTime now);
  FleetChanges ReplaceHosts(const VersionedTable<HostEntry>::Entries& entries,
                            const StoreRevision& store_revision);

  // Applies the reply of the host `peer` to a question sent at `asked_at`. The
  // confirmation counts from before the question, so that neither a pause of
  // one of the processes nor a difference of their clocks makes it look newer
  // than it is.
  FleetChanges ApplyReply(const std::string& peer,
                          RelayReply reply,
                          MonotonicTime asked_at,
                          MonotonicTime now);

  // Applies what the passing of time changes.
  FleetChanges Advance(MonotonicTime now);

  // Returns the question for what this host lacks of the view of `peer`.
  RelayQuestion QuestionFor(const std::string& peer) const;
  // True if this host knows something that the question's sender lacks.
  bool HasNewsFor(const RelayQuestion& question) const;
  // Returns the reply, without held_for and follows_store.
  RelayReply ReplyTo(const RelayQuestion& question, MonotonicTime now) const;

  const std::shared_ptr<const RoutingTable>& routing() const {
    return routing_;
  }
  const StoreRevision& routing_revision() const { return routing_revision_; }
  MonotonicTime routing_confirmed_at() const { return routing_confirmed_at_; }
  const VersionedTable<UpstreamEntry>& upstreams() const { return upstreams_; }
  const VersionedTable<HostEntry>& hosts() const { return hosts_; }
  // The newest era of the store that any of the tables reflects.
  std::uint64_t era() const {
    return std::max(upstreams_.store_revision().era,
                    hosts_.store_revision().era);
  }

 private:
  // To be called before `entries` are applied. Returns what replaces those of
  // upstreams that have left.
  VersionedTable<UpstreamEntry>::Entries BeginUpdate(
      const VersionedTable<UpstreamEntry>::Entries& entries,
      const StoreRevision& store_revision,
      MonotonicTime now);
  // Forgets the position in the tables of the host that was asked last, so that
  // it is asked for complete ones.
  void ResetCursors();

  // Null until the first document is known.
  std::shared_ptr<const RoutingTable> routing_;
  StoreRevision routing_revision_;
  MonotonicTime routing_confirmed_at_;
  DepartedUpstreams departed_;
  // The revision and the time of the update that is being applied.
  StoreRevision applied_revision_;
  MonotonicTime applied_at_;
  VersionedTable<UpstreamEntry> upstreams_;
  VersionedTable<HostEntry> hosts_;
  // The position in the tables of the host that was asked last. A change from
  // elsewhere resets it: the other host's changes may then not add up to its
  // entries.
  std::string cursors_peer_;
  TableCursor upstreams_cursor_;
  TableCursor hosts_cursor_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DIRECTORY_FLEET_VIEW_H_
