#ifndef FLAMINGOGAUGE_PLUGINS_PEERS_LINK_TABLE_H_
#define FLAMINGOGAUGE_PLUGINS_PEERS_LINK_TABLE_H_

#include <kj/async-io.h>

#include <chrono>
#include <map>
#include <string>

#include "libs/kernel/log.h"
#include "libs/model/member.h"
#include "plugins/peers/peer_connection.h"
#include "plugins/peers/peers_shared.h"
#include "plugins/peers/traffic.h"

namespace flamingogauge {

// Channel for empty calls that check whether a connection is alive.
inline constexpr char kPingChannel[] = "peers.ping";
// Channel for heartbeats. The name is short because every heartbeat carries it.
inline constexpr char kMembershipChannel[] = "hb";

// Maintains one outgoing connection per address. Connections with recent calls
// are pinged; one that does not respond is closed, so that the next call opens
// a new one. Used on the peers thread only.
class LinkTable : private kj::TaskSet::ErrorHandler {
 public:
  LinkTable(kj::AsyncIoContext& io,
            Member self,
            std::string token,
            PeersShared& shared,
            TrafficMeter& meter);

  // Calls a channel of the host at `address`. `expected_host` may be empty.
  // Never rejected; see PeerTransport::Call for the errors.
  kj::Promise<CallResult> Call(const std::string& address,
                               const HostId& expected_host,
                               const std::string& channel,
                               const std::string& payload,
                               std::chrono::milliseconds time_limit);

  // Makes the next call to the address open a new connection. Calls in flight
  // on the old connection may still complete.
  void DropConnection(const std::string& address);

  std::size_t size() const { return links_.size(); }

 private:
  // A connection that is being established or is ready for calls.
  struct Link {
    kj::Own<PeerConnection> ready;
    kj::Maybe<kj::ForkedPromise<kj::Own<PeerConnection>>> opening;
    kj::TimePoint last_received = kj::origin<kj::TimePoint>();
    kj::TimePoint last_used = kj::origin<kj::TimePoint>();
    // Excludes heartbeats, whose links are monitored by the membership.
    kj::TimePoint last_called = kj::origin<kj::TimePoint>();
    bool is_ping_pending = false;
  };

  void taskFailed(kj::Exception&& exception) override;
  kj::Promise<kj::Own<PeerConnection>> GetConnection(
      const std::string& address);
  kj::Promise<kj::Own<PeerConnection>> OpenConnection(
      const std::string& address);
  void StoreConnection(const std::string& address,
                       kj::Own<PeerConnection> opened);
  void RemoveOnDisconnect(const std::string& address,
                          PeerConnection& connection);
  kj::Promise<CallResult> CallOn(const std::string& address,
                                 kj::Own<PeerConnection> connection,
                                 const std::string& channel,
                                 const std::string& payload);
  kj::Promise<void> MaintainLinks();
  // Returns false if the link must be removed.
  bool MaintainLink(const std::string& address, Link* link);

  kj::AsyncIoContext& io_;
  kj::Timer& timer_;
  const Member self_;
  const std::string token_;
  PeersShared& shared_;
  TrafficMeter& meter_;
  Logger log_{"peers"};
  std::map<std::string, Link> links_;
  // Declared last, so that pending promises are destroyed before the members
  // that they use.
  kj::TaskSet tasks_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_PEERS_LINK_TABLE_H_
