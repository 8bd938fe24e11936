#include "libs/directory/fleet_view.h"

#include <algorithm>

namespace flamingogauge {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

template <typename T>
bool IsUsable(const TablePage<T>& page, const VersionedTable<T>& table) {
  return page.store_revision != 0 &&
         page.store_revision >= table.store_revision();
}

}  // namespace

FleetChanges FleetView::ApplyRouting(
    const std::shared_ptr<const RoutingTable>& routing,
    std::uint64_t store_revision,
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
    std::uint64_t store_revision) {
  ResetCursors();
  return {.upstreams = upstreams_.Replace(entries, store_revision)};
}

FleetChanges FleetView::ReplaceHosts(
    const VersionedTable<HostEntry>::Entries& entries,
    std::uint64_t store_revision) {
  ResetCursors();
  return {.hosts = hosts_.Replace(entries, store_revision)};
}

FleetChanges FleetView::ApplyReply(const std::string& peer,
                                   const RelayReply& reply,
                                   MonotonicTime asked_at) {
  FleetChanges changes;
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
    changes.upstreams = upstreams_.Apply(reply.upstreams);
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
