#ifndef FLAMINGOGAUGE_LIBS_MEMBERSHIP_MEMBERSHIP_H_
#define FLAMINGOGAUGE_LIBS_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "libs/kernel/time.h"
#include "libs/membership/heartbeat.h"
#include "libs/membership/member_table.h"
#include "libs/membership/membership_options.h"
#include "libs/membership/topology.h"
#include "libs/model/member.h"

namespace flamingogauge {

// Address at which a host may be reachable, taken from the settings or from the
// platform's host list, which may be out of date.
struct ContactAddress {
  std::string address;
  // Empty if only the address is known.
  HostId host;
  DataCentreId data_centre;
};

// Maintains the member list by exchanging heartbeats and detecting failures.
// Performs no I/O: the owner calls Tick every kTickInterval, sends the returned
// actions and passes in received messages.
//
// A host is marked suspected by its predecessors on the ring and declared dead
// by the hosts of its data centre. Hosts of other data centres neither suspect
// single hosts nor declare them dead; their gateways only detect that a whole
// data centre is unreachable, which leaves the entries of its hosts unchanged.
// A host that receives no messages neither suspects others nor declares them
// dead.
class Membership {
 public:
  static constexpr std::chrono::milliseconds kTickInterval{50};

  using View = std::vector<Member>;

  // `epoch` is the wall-clock time of the process start in milliseconds.
  Membership(Member self,
             std::uint64_t epoch,
             const MembershipOptions& options,
             MonotonicTime now);

  // Replace the addresses from the settings and from the platform's host list.
  void SetSeeds(const std::vector<std::string>& addresses);
  void SetListedHosts(std::vector<ContactAddress> listed);

  void SetDocumentRevision(std::uint64_t revision);
  // Publishes that this host is leaving.
  void AnnounceLeaving(MonotonicTime now);

  // Returns the heartbeats to send now.
  std::vector<HeartbeatAction> Tick(MonotonicTime now);
  // Processes a heartbeat from another host and returns the reply to send.
  Heartbeat OnRequest(const Heartbeat& request, MonotonicTime now);
  void OnReply(const Heartbeat& reply, MonotonicTime now);

  // Members as seen by this host, which comes first. The pointer changes only
  // when a member, its state or its document revision changes.
  std::shared_ptr<const View> view() const { return view_; }

  // True while another live process uses this host's name. This process then
  // sends no heartbeats; it resumes if the other one dies.
  bool is_replaced() const { return is_replaced_; }
  // True while this host knows other hosts but receives messages from none.
  bool is_isolated() const { return is_isolated_; }
  const Topology& topology() const { return topology_; }
  const MemberTable& table() const { return table_; }

 private:
  // Replication and failure detection state for one host. The sequence numbers
  // are reset when the host's process changes.
  struct Neighbour {
    Incarnation incarnation;
    std::uint64_t acknowledged = 0;  // in the local log
    std::uint64_t received = 0;      // in the neighbour's log
    std::uint64_t revision_sent = 0;
    MonotonicTime last_sent;
    MonotonicTime last_heard;
    std::optional<MonotonicTime> probing_since;
    unsigned suspicion_count = 0;
    MonotonicTime next_suspicion_at;
  };
  struct RemoteDataCentre {
    MonotonicTime last_heard;
    std::optional<MonotonicTime> probing_since;
    MonotonicTime next_probe;
    std::size_t probes = 0;
  };

  const Member& self() const;
  Neighbour& NeighbourFor(const HostId& host, MonotonicTime now);
  void ApplyHeartbeat(const Heartbeat& heartbeat, MonotonicTime now);
  void ApplyEntry(const MemberEntry& entry,
                  const Incarnation& from,
                  MonotonicTime now);
  void ApplyOwnEntry(const MemberEntry& entry, MonotonicTime now);
  void ApplyRevision(const Heartbeat& heartbeat);
  // Publishes `entry` as this host's own, with the next entry version.
  void PublishNewVersion(MemberEntry entry, MonotonicTime now);
  // Marks hosts dead that used the address of `entry` in an earlier epoch.
  void MarkDeadAtSameAddress(const MemberEntry& entry, MonotonicTime now);
  Heartbeat MakeHeartbeat(const HostId& to, MonotonicTime now);
  HeartbeatAction MakeAction(const std::string& address,
                             const HostId& host,
                             bool needs_new_connection,
                             MonotonicTime now);

  void HandlePause(MonotonicTime now);
  void UpdateTopology(MonotonicTime now);
  void ExpireSuspicions(MonotonicTime now);
  void SendHeartbeats(const std::vector<HostId>& hosts,
                      Duration interval,
                      MonotonicTime now);
  void CheckSuccessors(MonotonicTime now);
  void Suspect(const HostId& host, Neighbour* neighbour, MonotonicTime now);
  void CheckDataCentres(MonotonicTime now);
  void ProbeDataCentre(const DataCentreId& id,
                       RemoteDataCentre* remote,
                       std::size_t hosts,
                       MonotonicTime now);
  void SetUnreachable(const DataCentreId& id, bool value, MonotonicTime now);
  void ContactUnknownHosts(MonotonicTime now);
  void ContactDeadHosts(MonotonicTime now);
  void UpdateIsolation(MonotonicTime now);
  void RemoveIdleNeighbours(MonotonicTime now);
  std::set<DataCentreId> UnreachableDataCentres() const;
  MemberState ViewState(const MemberTable::Record& record,
                        const std::set<DataCentreId>& unreachable,
                        MonotonicTime now) const;
  void UpdateView(MonotonicTime now);

  const HostId self_host_;
  const DataCentreId self_data_centre_;
  const Incarnation self_incarnation_;
  const MembershipOptions options_;
  MemberTable table_;
  Topology topology_;
  std::uint64_t topology_head_ = 0;
  std::map<HostId, Neighbour> neighbours_;
  std::map<DataCentreId, RemoteDataCentre> remotes_;
  std::map<HostId, std::uint64_t> revisions_;
  std::vector<ContactAddress> seeds_;
  std::vector<ContactAddress> listed_;
  std::size_t next_contact_ = 0;
  std::size_t next_dead_ = 0;
  MonotonicTime contact_at_;
  MonotonicTime contact_dead_at_;
  MonotonicTime last_active_;
  MonotonicTime last_heard_;
  bool has_heard_ = false;
  MonotonicTime first_heard_;
  bool is_isolated_ = false;
  bool is_replaced_ = false;
  std::uint64_t revision_ = 0;
  std::uint64_t counter_ = 0;
  std::vector<HeartbeatAction> actions_;
  std::shared_ptr<const View> view_;
  // Inputs of the current view, and the time at which the view is recomputed
  // even if they are unchanged, because states also depend on the time.
  std::uint64_t revisions_version_ = 0;
  std::tuple<std::uint64_t, bool, std::uint64_t, std::uint64_t> view_state_;
  MonotonicTime view_due_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_MEMBERSHIP_MEMBERSHIP_H_
