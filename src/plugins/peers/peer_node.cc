#include "plugins/peers/peer_node.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "plugins/peers/heartbeat_codec.h"

namespace flamingogauge {
namespace {

constexpr std::chrono::milliseconds kHeartbeatTimeLimit{1000};
// How long a handler may take to reply; longer than any call's time limit.
constexpr auto kReplyTimeLimit = 120 * kj::SECONDS;
constexpr auto kReplyCheckInterval = 5 * kj::SECONDS;
// Time allowed for the leave announcement to reach the other hosts.
constexpr auto kLeaveAnnouncementTime = 300 * kj::MILLISECONDS;
constexpr std::size_t kMaxCallsInFlight = 16384;

Error CallError(ErrorCode code, const std::string& peer, std::string message) {
  return Error{.code = code,
               .step = "call peer",
               .peer = peer,
               .message = std::move(message)};
}

std::uint64_t WallClockMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

PeerNode::PeerNode(kj::AsyncIoContext& io,
                   const PeersSettings& settings,
                   const Member& self,
                   int listen_fd,
                   std::weak_ptr<EventLoop> loop,
                   std::shared_ptr<PeersShared> shared,
                   HostList* host_list)
    : timer_(io.provider->getTimer()),
      settings_(settings),
      self_(self),
      loop_(std::move(loop)),
      shared_(std::move(shared)),
      host_list_(host_list),
      listener_(io.lowLevelProvider->wrapListenSocketFd(
          listen_fd,
          kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP |
              kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC)),
      membership_(self,
                  WallClockMilliseconds(),
                  MembershipOptions(),
                  std::chrono::steady_clock::now()),
      links_(io, self, settings.token, *shared_, meter_),
      tasks_(*this) {
  membership_.SetSeeds(settings_.seeds);
  dispatch_ = [this](const Member& from, const std::string& channel,
                     std::string payload) {
    return Dispatch(from, channel, std::move(payload));
  };
  tasks_.add(AcceptConnections());
  tasks_.add(Tick());
  tasks_.add(ExpireReplies());
  if (host_list_ != nullptr) {
    tasks_.add(FetchHostList());
  }
}

void PeerNode::taskFailed(kj::Exception&& exception) {
  log_.Debug(std::string("connection ended: ") +
             exception.getDescription().cStr());
}

kj::Promise<void> PeerNode::AcceptConnections() {
  return listener_->accept().then([this](kj::Own<kj::AsyncIoStream> stream) {
    ++shared_->connections_accepted;
    tasks_.add(ServeConnection(
        kj::mv(stream), kj::heap<PeerServer>(self_, settings_.token, dispatch_),
        meter_, timer_));
    return AcceptConnections();
  });
}

void PeerNode::Call(const HostId& host,
                    const std::string& channel,
                    const std::string& payload,
                    std::chrono::milliseconds time_limit,
                    PeerTransport::ReplyCallback callback) {
  if (calls_in_flight_ >= kMaxCallsInFlight ||
      payload.size() > kMaxPayloadBytes) {
    callback(CallError(ErrorCode::kResourceExhausted, host,
                       "too many calls in flight, or a payload of more than " +
                           std::to_string(kMaxPayloadBytes) + " bytes"));
    return;
  }
  const auto it = addresses_.find(host);
  if (host != self_.host && it == addresses_.end()) {
    callback(CallError(ErrorCode::kNotFound, host, "unknown host"));
    return;
  }
  ++calls_in_flight_;
  auto result = host == self_.host ? Dispatch(self_, channel, payload)
                                   : links_.Call(it->second, host, channel,
                                                 payload, time_limit);
  tasks_.add(
      result.then([this, callback = std::move(callback)](CallResult outcome) {
        --calls_in_flight_;
        callback(std::move(outcome));
      }));
}

kj::Promise<CallResult> PeerNode::Dispatch(const Member& from,
                                           const std::string& channel,
                                           std::string payload) {
  ++shared_->calls_received;
  if (channel == kMembershipChannel) {
    return AnswerHeartbeat(payload);
  }
  if (channel == kPingChannel) {
    return CallResult(std::string());
  }
  const PeerTransport::Handler handler = shared_->FindHandler(channel);
  if (!handler) {
    return CallResult(CallError(ErrorCode::kNotFound, self_.host,
                                "unknown channel " + channel));
  }
  return CallHandler(from, handler, std::move(payload));
}

kj::Promise<CallResult> PeerNode::CallHandler(
    const Member& from,
    const PeerTransport::Handler& handler,
    std::string payload) {
  const std::uint64_t id = next_reply_++;
  auto pair = kj::newPromiseAndFulfiller<CallResult>();
  replies_.emplace(id,
                   PendingReply{.fulfiller = kj::mv(pair.fulfiller),
                                .expires_at = timer_.now() + kReplyTimeLimit});
  handler(from.host, std::move(payload),
          [this, id, loop = loop_, shared = shared_](const CallResult& result) {
            const auto target = loop.lock();
            if (!target || !target->Post([this, id, result] {
                  CompleteReply(id, result);
                })) {
              ++shared->replies_lost;
            }
          });
  return kj::mv(pair.promise);
}

void PeerNode::CompleteReply(std::uint64_t id, CallResult result) {
  const auto it = replies_.find(id);
  if (it == replies_.end()) {
    return;
  }
  it->second.fulfiller->fulfill(kj::mv(result));
  replies_.erase(it);
}

kj::Promise<void> PeerNode::ExpireReplies() {
  return timer_.afterDelay(kReplyCheckInterval).then([this] {
    // Ids increase over time and all replies have the same time limit, so the
    // map is ordered by expiry.
    while (!replies_.empty() &&
           replies_.begin()->second.expires_at <= timer_.now()) {
      CompleteReply(replies_.begin()->first,
                    CallError(ErrorCode::kInternal, self_.host,
                              "the handler did not reply"));
    }
    return ExpireReplies();
  });
}

kj::Promise<void> PeerNode::Tick() {
  membership_.SetDocumentRevision(shared_->document_revision);
  for (const HeartbeatAction& it :
       membership_.Tick(std::chrono::steady_clock::now())) {
    SendHeartbeat(it);
  }
  Publish();
  PublishTraffic();
  if (membership_.is_replaced() && !is_replacement_logged_) {
    is_replacement_logged_ = true;
    log_.Error("another process has replaced this one under the host id " +
               self_.host);
  }
  return timer_.afterDelay(Membership::kTickInterval.count() * kj::MILLISECONDS)
      .then([this] { return Tick(); });
}

void PeerNode::PublishTraffic() {
  // Every 20th tick, 1 s, because it takes a system call per connection.
  if (ticks_++ % 20 != 0) {
    return;
  }
  const Traffic total = meter_.Total();
  shared_->bytes_sent = total.bytes_sent;
  shared_->bytes_received = total.bytes_received;
  shared_->segments_sent = total.segments_sent;
  shared_->segments_received = total.segments_received;
  shared_->open_connections = meter_.OpenConnections();
}

void PeerNode::SendHeartbeat(const HeartbeatAction& action) {
  if (action.needs_new_connection) {
    links_.DropConnection(action.address);
  }
  tasks_.add(links_
                 .Call(action.address, action.host, kMembershipChannel,
                       EncodeHeartbeat(action.message), kHeartbeatTimeLimit)
                 .then([this](CallResult result) {
                   if (!result) {
                     return;
                   }
                   const Result<Heartbeat> reply =
                       DecodeHeartbeat(result.value());
                   if (reply) {
                     membership_.OnReply(reply.value(),
                                         std::chrono::steady_clock::now());
                     Publish();
                   }
                 }));
}

CallResult PeerNode::AnswerHeartbeat(const std::string& payload) {
  const Result<Heartbeat> request = DecodeHeartbeat(payload);
  if (!request) {
    return request.error();
  }
  const Heartbeat reply =
      membership_.OnRequest(request.value(), std::chrono::steady_clock::now());
  Publish();
  return EncodeHeartbeat(reply);
}

void PeerNode::Publish() {
  const std::shared_ptr<const MemberList> members = membership_.view();
  const std::shared_ptr<const MemberList> previous = shared_->Current();
  if (members == previous) {
    return;
  }
  LogChanges(*previous, *members);
  addresses_.clear();
  for (const Member& it : *members) {
    addresses_[it.host] = it.peer_address;
  }
  shared_->Publish(members);
  for (const MembershipView::Listener& it : shared_->Listeners()) {
    it(members);
  }
}

void PeerNode::LogChanges(const MemberList& previous,
                          const MemberList& members) {
  std::unordered_map<HostId, const Member*> before;
  for (const Member& it : previous) {
    before[it.host] = &it;
  }
  for (const Member& it : members) {
    const auto found = before.find(it.host);
    if (found == before.end() || found->second->incarnation != it.incarnation ||
        found->second->state != it.state) {
      log_.Info("host " + it.host + " is " + std::string(ToString(it.state)));
    }
  }
}

void PeerNode::CallNewListeners() {
  for (const MembershipView::Listener& it : shared_->TakeNewListeners()) {
    it(shared_->Current());
  }
}

void PeerNode::AnnounceLeaving(std::function<void()> done) {
  membership_.AnnounceLeaving(std::chrono::steady_clock::now());
  Publish();
  tasks_.add(timer_.afterDelay(kLeaveAnnouncementTime).then(std::move(done)));
}

kj::Promise<void> PeerNode::FetchHostList() {
  host_list_->Fetch(
      [this, loop = loop_](Result<std::vector<ListedHost>> listed) {
        const auto target = loop.lock();
        if (listed && target) {
          // If the task is rejected, the list is fetched again after the
          // interval.
          static_cast<void>(target->Post(
              [this, hosts = listed.value()] { ApplyHostList(hosts); }));
        }
      });
  const auto interval = membership_.view()->size() > 1
                            ? settings_.host_list_interval
                            : settings_.host_list_interval_alone;
  return timer_.afterDelay(interval.count() * kj::MILLISECONDS).then([this] {
    return FetchHostList();
  });
}

void PeerNode::ApplyHostList(const std::vector<ListedHost>& listed) {
  std::vector<ContactAddress> contacts;
  for (const ListedHost& it : listed) {
    if (!it.leaving) {
      contacts.push_back({.address = it.peer_address,
                          .host = it.host,
                          .data_centre = it.data_centre});
    }
  }
  membership_.SetListedHosts(std::move(contacts));
}

}  // namespace flamingogauge
