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

// An address at which a host may be found, from the settings or from the
// platform's lagging list.
struct ContactAddress {
  std::string address;
  // Empty when only the address is known.
  HostId host;
  DataCentreId data_centre;
};

// Keeps the list of members by heartbeats. No I/O: the owner calls Tick every
// kTickInterval, sends the actions and hands over what arrives.
//
// Who judges whom: the ring predecessors of a host suspect it, and the hosts of
// its data centre declare it dead. Other data centres never judge single hosts;
// their gateways only find that a whole data centre is out of reach, which is
// no verdict on its hosts. A host that hears from nobody judges nobody.
class Membership {
 public:
  static constexpr std::chrono::milliseconds kTickInterval{50};

  using View = std::vector<Member>;

  // `epoch` is the wall-clock time of the start in milliseconds.
  Membership(Member self,
             std::uint64_t epoch,
             const MembershipOptions& options,
             MonotonicTime now);

  // Replaces the addresses from the settings and from the platform's list.
  void SetSeeds(const std::vector<std::string>& addresses);
  void SetListedHosts(std::vector<ContactAddress> listed);

  void SetDocumentRevision(std::uint64_t revision);
  // Tells the other hosts that this one leaves.
  void AnnounceLeaving(MonotonicTime now);

  // Returns the heartbeats to send now.
  std::vector<HeartbeatAction> Tick(MonotonicTime now);
  // Answers a request of another host.
  Heartbeat OnRequest(const Heartbeat& request, MonotonicTime now);
  void OnReply(const Heartbeat& reply, MonotonicTime now);

  // The members as this host sees them, this host first. The pointer changes
  // when a member, a state or a revision does.
  std::shared_ptr<const View> view() const { return view_; }

  // True while another living process has taken over this host's name. This
  // one then sends no heartbeats; it returns if the other one dies.
  bool is_replaced() const { return is_replaced_; }
  // True while this host hears from nobody although it knows others.
  bool is_isolated() const { return is_isolated_; }
  const Topology& topology() const { return topology_; }
  const MemberTable& table() const { return table_; }

 private:
  // The exchange with one host, as far as both processes stay the same.
  struct Neighbour {
    Incarnation incarnation;
    std::uint64_t acknowledged = 0;  // of our log
    std::uint64_t received = 0;      // of its log
    std::uint64_t revision_sent = 0;
    MonotonicTime last_sent;
    MonotonicTime last_heard;
    std::optional<MonotonicTime> probing_since;
    unsigned accusations = 0;
    MonotonicTime accuse_after;
  };
  struct RemoteDataCentre {
    MonotonicTime last_heard;
    std::optional<MonotonicTime> probing_since;
    MonotonicTime next_probe;
    std::size_t probes = 0;
  };

  const Member& self() const;
  Neighbour& NeighbourFor(const HostId& host, MonotonicTime now);
  void Learn(const Heartbeat& heartbeat, MonotonicTime now);
  void LearnEntry(const MemberEntry& entry,
                  const Incarnation& from,
                  MonotonicTime now);
  void LearnOwnEntry(const MemberEntry& entry, MonotonicTime now);
  void LearnRevision(const Heartbeat& heartbeat);
  // Publishes a new life of this process.
  void RaiseLife(MemberEntry entry, MonotonicTime now);
  void RetireSameAddress(const MemberEntry& entry, MonotonicTime now);
  Heartbeat Compose(const HostId& to, MonotonicTime now);
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
  void JudgeSuccessors(MonotonicTime now);
  void Accuse(const HostId& host, Neighbour* neighbour, MonotonicTime now);
  void JudgeDataCentres(MonotonicTime now);
  void ProbeDataCentre(const DataCentreId& id,
                       RemoteDataCentre* remote,
                       std::size_t hosts,
                       MonotonicTime now);
  void SetUnreachable(const DataCentreId& id, bool value, MonotonicTime now);
  void ContactUnknown(MonotonicTime now);
  void ContactDead(MonotonicTime now);
  void UpdateIsolation(MonotonicTime now);
  void ForgetNeighbours(MonotonicTime now);
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
  // What the view was computed from, and when it is computed again because a
  // time has passed.
  std::uint64_t revisions_version_ = 0;
  std::tuple<std::uint64_t, bool, std::uint64_t, std::uint64_t> view_state_;
  MonotonicTime view_due_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_MEMBERSHIP_MEMBERSHIP_H_
