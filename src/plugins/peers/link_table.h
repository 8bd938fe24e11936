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

// The channel of empty calls that only show that a connection works.
inline constexpr char kPingChannel[] = "peers.ping";
// The channel of heartbeats; short, because it is sent with each of them.
inline constexpr char kMembershipChannel[] = "hb";

// The one outgoing connection to each address. Open connections that have been
// used lately carry a heartbeat; one that stays silent is given up, so that the
// next call opens a new one. Lives on the peers thread.
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
  // on the old one may still end.
  void GiveUp(const std::string& address);

  std::size_t size() const { return links_.size(); }

 private:
  // A connection being opened or ready.
  struct Link {
    kj::Own<PeerConnection> ready;
    kj::Maybe<kj::ForkedPromise<kj::Own<PeerConnection>>> opening;
    kj::TimePoint last_received = kj::origin<kj::TimePoint>();
    kj::TimePoint last_used = kj::origin<kj::TimePoint>();
    // Heartbeats do not count: the membership watches their links itself.
    kj::TimePoint last_called = kj::origin<kj::TimePoint>();
    bool is_ping_pending = false;
  };

  void taskFailed(kj::Exception&& exception) override;
  kj::Promise<kj::Own<PeerConnection>> GetConnection(
      const std::string& address);
  kj::Promise<kj::Own<PeerConnection>> OpenConnection(
      const std::string& address);
  void Adopt(const std::string& address, kj::Own<PeerConnection> opened);
  void WatchConnection(const std::string& address, PeerConnection& connection);
  kj::Promise<CallResult> CallOn(const std::string& address,
                                 kj::Own<PeerConnection> connection,
                                 const std::string& channel,
                                 const std::string& payload);
  kj::Promise<void> Maintain();
  // Returns false when the link is to be dropped.
  bool MaintainLink(const std::string& address, Link* link);

  kj::AsyncIoContext& io_;
  kj::Timer& timer_;
  const Member self_;
  const std::string token_;
  PeersShared& shared_;
  TrafficMeter& meter_;
  Logger log_{"peers"};
  std::map<std::string, Link> links_;
  // Last, so that pending promises are dropped before what they use.
  kj::TaskSet tasks_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_PEERS_LINK_TABLE_H_
