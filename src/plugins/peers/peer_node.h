#ifndef FLAMINGOGAUGE_PLUGINS_PEERS_PEER_NODE_H_
#define FLAMINGOGAUGE_PLUGINS_PEERS_PEER_NODE_H_

#include <kj/async-io.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "libs/kernel/log.h"
#include "libs/model/member.h"
#include "libs/services/peer_transport.h"
#include "plugins/peers/event_loop.h"
#include "plugins/peers/peer_connection.h"
#include "plugins/peers/peer_server.h"
#include "plugins/peers/peers_settings.h"
#include "plugins/peers/peers_shared.h"

namespace flamingogauge {

// The part of the plugin that lives on the peers thread: the listener, the
// connections and the calls in flight.
class PeerNode final : private kj::TaskSet::ErrorHandler {
 public:
  // Takes over `listen_fd`, a listening socket. `loop` serves replies that
  // handlers give on other threads.
  PeerNode(kj::AsyncIoContext& io,
           const PeersSettings& settings,
           Member self,
           int listen_fd,
           std::weak_ptr<EventLoop> loop,
           std::shared_ptr<PeersShared> shared);

  // Calls a channel of a host; see PeerTransport::Call.
  void Call(const HostId& host,
            const std::string& channel,
            const std::string& payload,
            std::chrono::milliseconds time_limit,
            PeerTransport::ReplyCallback callback);

  // Calls the listeners that were added since the last turn.
  void CallNewListeners();

 private:
  // The one outgoing connection to an address, being opened or ready.
  struct Link {
    kj::Own<PeerConnection> ready;
    kj::Maybe<kj::ForkedPromise<kj::Own<PeerConnection>>> opening;
  };
  struct KnownHost {
    Member member;
    kj::TimePoint last_heard;
  };

  void taskFailed(kj::Exception&& exception) override;

  kj::Promise<void> AcceptConnections();
  kj::Promise<kj::Own<PeerConnection>> GetConnection(
      const std::string& address);
  kj::Promise<kj::Own<PeerConnection>> OpenConnection(
      const std::string& address);
  void WatchConnection(const std::string& address, PeerConnection& connection);
  kj::Promise<CallResult> CallAddress(const std::string& address,
                                      const HostId& expected_host,
                                      const std::string& channel,
                                      const std::string& payload,
                                      std::chrono::milliseconds time_limit);
  kj::Promise<CallResult> Dispatch(const Member& from,
                                   const std::string& channel,
                                   std::string payload);
  void CompleteReply(std::uint64_t id, CallResult result);
  kj::Promise<void> ExpireReply(std::uint64_t id);

  kj::Promise<void> ExchangeHosts();
  std::string Introduce() const;
  void LearnHosts(const std::string& introduction);
  void Heard(const Member& member);
  void Publish();

  kj::AsyncIoContext& io_;
  kj::Timer& timer_;
  PeersSettings settings_;
  Member self_;
  std::weak_ptr<EventLoop> loop_;
  std::shared_ptr<PeersShared> shared_;
  Logger log_{"peers"};
  kj::Own<kj::ConnectionReceiver> listener_;
  PeerServer::Dispatch dispatch_;
  std::map<std::string, Link> links_;
  std::map<HostId, KnownHost> hosts_;
  std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<CallResult>>> replies_;
  std::uint64_t next_reply_ = 0;
  std::size_t calls_in_flight_ = 0;
  // Last, so that pending promises are dropped before what they use.
  kj::TaskSet tasks_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_PEERS_PEER_NODE_H_
