#include "libs/directory/fleet_view.h"

#include <algorithm>

namespace flamingogauge {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

template <typename T>
bool IsUsable(const TablePage<T>& page, const VersionedTable<T>& table) {
  return page.store_revision.is_known() &&
         !(page.store_revision < table.store_revision());
}

// A host of a version that does not know eras states none.
template <typename T>
void AssumeEra(const VersionedTable<T>& table, TablePage<T>& page) {
  if (page.store_revision.is_known() && page.store_revision.era == 0) {
    page.store_revision.era = table.store_revision().era;
  }
}

}  // namespace

FleetView::FleetView(std::uint64_t process)
    : upstreams_(process,
                 [this](const std::string& id,
                        const UpstreamEntry* before,
                        const UpstreamEntry* after) {
                   departed_.OnChange(id, before, after, applied_revision_,
                                      applied_at_);
                 }),
      hosts_(process) {}

FleetChanges FleetView::ApplyRouting(
    const std::shared_ptr<const RoutingTable>& routing,
    const StoreRevision& store_revision,
    MonotonicTime confirmed_at) {
  FleetChanges changes;
  if (routing_ && routing->version < routing_->version) {
    return changes;
  }
  routing_revision_ = std::max(routing_revision_, store_revision);
  if (!routing_ || routing->version > routing_->version) {
    routing_ = routing;
    routing_confirmed_at_ = confirmed_at;
    changes.routing = true;
    changes.confirmation = true;
  } else if (confirmed_at > routing_confirmed_at_) {
    routing_confirmed_at_ = confirmed_at;
    changes.confirmation = true;
  }
  return changes;
}

FleetChanges FleetView::ReplaceUpstreams(
    const VersionedTable<UpstreamEntry>::Entries& entries,
    const StoreRevision& store_revision,
    MonotonicTime now) {
  ResetCursors();
  if (store_revision < upstreams_.store_revision()) {
    return {};
  }
  const auto overrides = BeginUpdate(entries, store_revision, now);
  return {.upstreams = upstreams_.Replace(entries, store_revision, overrides)};
}

VersionedTable<UpstreamEntry>::Entries FleetView::BeginUpdate(
    const VersionedTable<UpstreamEntry>::Entries& entries,
    const StoreRevision& store_revision,
    MonotonicTime now) {
  applied_revision_ = store_revision;
  applied_at_ = now;
  return departed_.Withhold(entries, store_revision, now);
}

FleetChanges FleetView::Advance(MonotonicTime now) {
  FleetChanges changes;
  for (const auto& [id, entry] : departed_.TakeBelieved(now)) {
    changes.upstreams |= upstreams_.Set(id, entry);
  }
  return changes;
}

FleetChanges FleetView::ReplaceHosts(
    const VersionedTable<HostEntry>::Entries& entries,
    const StoreRevision& store_revision) {
  ResetCursors();
  return {.hosts = hosts_.Replace(entries, store_revision)};
}

FleetChanges FleetView::ApplyReply(const std::string& peer,
                                   RelayReply reply,
                                   MonotonicTime asked_at,
                                   MonotonicTime now) {
  FleetChanges changes;
  AssumeEra(upstreams_, reply.upstreams);
  AssumeEra(hosts_, reply.hosts);
  // Without the document, the reply confirms the version that this host has.
  const auto& routing = reply.routing ? reply.routing : routing_;
  if (reply.routing_age && routing &&
      routing->version == reply.routing_version) {
    changes = ApplyRouting(routing, reply.routing_revision,
                           asked_at + reply.held_for - *reply.routing_age);
  }
  if (peer != cursors_peer_) {
    ResetCursors();
    cursors_peer_ = peer;
  }
  if (IsUsable(reply.upstreams, upstreams_)) {
    const auto overrides = BeginUpdate(reply.upstreams.entries,
                                       reply.upstreams.store_revision, now);
    changes.upstreams = upstreams_.Apply(reply.upstreams, overrides);
    upstreams_cursor_ = reply.upstreams.cursor;
  }
  if (IsUsable(reply.hosts, hosts_)) {
    changes.hosts = hosts_.Apply(reply.hosts);
    hosts_cursor_ = reply.hosts.cursor;
  }
  return changes;
}

RelayQuestion FleetView::QuestionFor(const std::string& peer) const {
  RelayQuestion question{.routing_version = routing_ ? routing_->version : 0,
                         .upstreams_revision = upstreams_.store_revision(),
                         .hosts_revision = hosts_.store_revision()};
  if (peer == cursors_peer_) {
    question.upstreams = upstreams_cursor_;
    question.hosts = hosts_cursor_;
  }
  return question;
}

bool FleetView::HasNewsFor(const RelayQuestion& question) const {
  return (routing_ && routing_->version > question.routing_version) ||
         upstreams_.HasNewsSince(question.upstreams,
                                 question.upstreams_revision) ||
         hosts_.HasNewsSince(question.hosts, question.hosts_revision);
}

RelayReply FleetView::ReplyTo(const RelayQuestion& question,
                              MonotonicTime now) const {
  RelayReply reply;
  if (routing_) {
    reply.routing_version = routing_->version;
    reply.routing_revision = routing_revision_;
    // Rounded up, so that the confirmation never looks newer than it is.
    reply.routing_age =
        duration_cast<milliseconds>(now - routing_confirmed_at_) +
        milliseconds(1);
  }
  if (question.is_probe) {
    return reply;
  }
  if (routing_ && routing_->version > question.routing_version) {
    reply.routing = routing_;
  }
  reply.upstreams =
      upstreams_.Since(question.upstreams, question.upstreams_revision);
  reply.hosts = hosts_.Since(question.hosts, question.hosts_revision);
  return reply;
}

void FleetView::ResetCursors() {
  cursors_peer_.clear();
  upstreams_cursor_ = {};
  hosts_cursor_ = {};
}

}  // namespace flamingogauge
