#ifndef FLAMINGOGAUGE_PLUGINS_PEERS_PEER_NODE_H_
#define FLAMINGOGAUGE_PLUGINS_PEERS_PEER_NODE_H_

#include <kj/async-io.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "libs/event_loop/event_loop.h"
#include "libs/kernel/log.h"
#include "libs/membership/membership.h"
#include "libs/model/member.h"
#include "libs/services/host_list.h"
#include "libs/services/peer_transport.h"
#include "plugins/peers/link_table.h"
#include "plugins/peers/peer_connection.h"
#include "plugins/peers/peer_server.h"
#include "plugins/peers/peers_settings.h"
#include "plugins/peers/peers_shared.h"
#include "plugins/peers/traffic.h"

namespace flamingogauge {

// The part of the plugin that runs on the peers thread: the listener, the calls
// in flight and the membership.
class PeerNode final : private kj::TaskSet::ErrorHandler {
 public:
  // Takes ownership of the listening socket `listen_fd`. Replies that handlers
  // give on other threads are posted to `loop`. `host_list` may be null.
  PeerNode(kj::AsyncIoContext& io,
           const PeersSettings& settings,
           const Member& self,
           int listen_fd,
           std::weak_ptr<EventLoop> loop,
           std::shared_ptr<PeersShared> shared,
           HostList* host_list);

  // Calls a channel of a host; see PeerTransport::Call.
  void Call(const HostId& host,
            const std::string& channel,
            const std::string& payload,
            std::chrono::milliseconds time_limit,
            PeerTransport::ReplyCallback callback);

  // Calls the listeners that were added since the previous invocation.
  void CallNewListeners();

  // Announces to the other hosts that this host leaves; calls `done` after the
  // time allowed for the announcement to arrive.
  void AnnounceLeaving(std::function<void()> done);

 private:
  void taskFailed(kj::Exception&& exception) override;

  kj::Promise<void> AcceptConnections();
  kj::Promise<CallResult> Dispatch(const Member& from,
                                   const std::string& channel,
                                   std::string payload);
  kj::Promise<CallResult> CallHandler(const Member& from,
                                      const PeerTransport::Handler& handler,
                                      std::string payload);
  void CompleteReply(std::uint64_t id, CallResult result);
  kj::Promise<void> ExpireReplies();

  kj::Promise<void> Tick();
  void SendHeartbeat(const HeartbeatAction& action);
  CallResult AnswerHeartbeat(const std::string& payload);
  void Publish();
  void PublishTraffic();
  void LogChanges(const MemberList& previous, const MemberList& members);
  kj::Promise<void> FetchHostList();
  void ApplyHostList(const std::vector<ListedHost>& listed);

  kj::Timer& timer_;
  const PeersSettings settings_;
  const Member self_;
  std::weak_ptr<EventLoop> loop_;
  std::shared_ptr<PeersShared> shared_;
  HostList* host_list_;
  Logger log_{"peers"};
  TrafficMeter meter_;
  kj::Own<kj::ConnectionReceiver> listener_;
  PeerServer::Dispatch dispatch_;
  Membership membership_;
  std::unordered_map<HostId, std::string> addresses_;
  struct PendingReply {
    kj::Own<kj::PromiseFulfiller<CallResult>> fulfiller;
    kj::TimePoint expires_at;
  };
  std::map<std::uint64_t, PendingReply> replies_;
  std::uint64_t next_reply_ = 0;
  std::size_t calls_in_flight_ = 0;
  std::uint64_t ticks_ = 0;
  bool is_replacement_logged_ = false;
  LinkTable links_;
  // Declared last, so that pending promises are destroyed before the members
  // that they use.
  kj::TaskSet tasks_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_PEERS_PEER_NODE_H_
