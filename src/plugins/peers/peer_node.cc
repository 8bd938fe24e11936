#include "plugins/peers/peer_node.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <utility>
#include <vector>

#include "protocol/membership.capnp.h"

namespace flamingogauge {
namespace {

constexpr char kIntroductionChannel[] = "peers.introduction";
constexpr std::chrono::milliseconds kExchangeInterval{500};
constexpr std::chrono::milliseconds kConnectTimeLimit{1000};
// After this silence a host is no longer listed.
constexpr auto kSilenceLimit = 3 * kj::SECONDS;
// How long a handler may take to reply; longer than any call's time limit.
constexpr auto kReplyTimeLimit = 120 * kj::SECONDS;
constexpr std::size_t kMaxCallsInFlight = 16384;

kj::Duration ToKj(std::chrono::milliseconds duration) {
  return duration.count() * kj::MILLISECONDS;
}

// Rejects the promise in whose continuation it is called.
[[noreturn]] void Fail(const char* reason) {
  kj::throwFatalException(KJ_EXCEPTION(FAILED, reason));
}

Error CallError(ErrorCode code, const std::string& peer, std::string message) {
  return Error{.code = code,
               .step = "call peer",
               .peer = peer,
               .message = std::move(message)};
}

}  // namespace

PeerNode::PeerNode(kj::AsyncIoContext& io,
                   const PeersSettings& settings,
                   Member self,
                   int listen_fd,
                   std::weak_ptr<EventLoop> loop,
                   std::shared_ptr<PeersShared> shared)
    : io_(io),
      timer_(io.provider->getTimer()),
      settings_(settings),
      self_(std::move(self)),
      loop_(std::move(loop)),
      shared_(std::move(shared)),
      listener_(io.lowLevelProvider->wrapListenSocketFd(
          listen_fd,
          kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP |
              kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC)),
      tasks_(*this) {
  dispatch_ = [this](const Member& from, const std::string& channel,
                     std::string payload) {
    return Dispatch(from, channel, std::move(payload));
  };
  Publish();
  tasks_.add(AcceptConnections());
  tasks_.add(ExchangeHosts());
}

void PeerNode::taskFailed(kj::Exception&& exception) {
  log_.Debug(std::string("connection ended: ") +
             exception.getDescription().cStr());
}

kj::Promise<void> PeerNode::AcceptConnections() {
  return listener_->accept().then([this](kj::Own<kj::AsyncIoStream> stream) {
    ++shared_->connections_accepted;
    tasks_.add(ServeConnection(
        kj::mv(stream),
        kj::heap<PeerServer>(self_, settings_.token, dispatch_)));
    return AcceptConnections();
  });
}

kj::Promise<kj::Own<PeerConnection>> PeerNode::GetConnection(
    const std::string& address) {
  Link& link = links_[address];
  if (link.ready.get() != nullptr) {
    return link.ready->addRef();
  }
  KJ_IF_MAYBE (opening, link.opening) {
    return opening->addBranch();
  }
  auto opening = OpenConnection(address).fork();
  auto branch = opening.addBranch();
  link.opening = kj::mv(opening);
  return branch;
}

kj::Promise<kj::Own<PeerConnection>> PeerNode::OpenConnection(
    const std::string& address) {
  auto limit = timer_.afterDelay(ToKj(kConnectTimeLimit))
                   .then([]() -> kj::Own<PeerConnection> {
                     Fail("no answer within the time limit");
                   });
  // The link is changed in a later turn, when nobody runs inside its promise.
  return PeerConnection::Open(io_.provider->getNetwork(), address,
                              settings_.token, self_)
      .exclusiveJoin(kj::mv(limit))
      .then(
          [this, address](kj::Own<PeerConnection> connection)
              -> kj::Promise<kj::Own<PeerConnection>> {
            ++shared_->connections_opened;
            tasks_.add(kj::evalLater(
                [this, address, opened = connection->addRef()]() mutable {
                  Link& link = links_[address];
                  link.opening = nullptr;
                  link.ready = kj::mv(opened);
                  WatchConnection(address, *link.ready);
                }));
            return kj::mv(connection);
          },
          [this, address](kj::Exception&& exception) {
            tasks_.add(
                kj::evalLater([this, address] { links_.erase(address); }));
            return kj::Promise<kj::Own<PeerConnection>>(kj::mv(exception));
          });
}

void PeerNode::WatchConnection(const std::string& address,
                               PeerConnection& connection) {
  // kj keeps a reference to a function that is not passed as an rvalue.
  auto forget = [this, address, watched = &connection] {
    const auto it = links_.find(address);
    if (it != links_.end() && it->second.ready.get() == watched) {
      links_.erase(it);
    }
  };
  tasks_.add(connection.OnDisconnect()
                 .catch_([](kj::Exception&&) {})
                 .then(std::move(forget)));
}

kj::Promise<CallResult> PeerNode::CallAddress(
    const std::string& address,
    const HostId& expected_host,
    const std::string& channel,
    const std::string& payload,
    std::chrono::milliseconds time_limit) {
  ++shared_->calls_sent;
  const auto was_sent = std::make_shared<bool>(false);
  const std::string peer =
      expected_host.empty() ? address : expected_host + " at " + address;
  // Nothing was delivered before the request was handed to a connection; after
  // that the peer may have handled it.
  const auto failure = [this, was_sent, peer](const std::string& reason) {
    ++shared_->calls_failed;
    return CallResult(
        CallError(*was_sent ? ErrorCode::kTimeout : ErrorCode::kUnavailable,
                  peer, reason));
  };
  auto limit = timer_.afterDelay(ToKj(time_limit)).then([failure, time_limit] {
    return failure("no answer within " + std::to_string(time_limit.count()) +
                   " ms");
  });
  return GetConnection(address)
      .then([was_sent, channel, payload,
             expected_host](kj::Own<PeerConnection> connection) {
        if (!expected_host.empty() &&
            connection->peer().host != expected_host) {
          Fail("another host answers at this address");
        }
        *was_sent = true;
        return connection->Call(channel, payload);
      })
      .catch_([failure](kj::Exception&& exception) {
        return failure(exception.getDescription().cStr());
      })
      .exclusiveJoin(kj::mv(limit));
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
  const auto it = hosts_.find(host);
  if (host != self_.host && it == hosts_.end()) {
    callback(CallError(ErrorCode::kNotFound, host, "unknown host"));
    return;
  }
  ++calls_in_flight_;
  auto result = host == self_.host
                    ? Dispatch(self_, channel, payload)
                    : CallAddress(it->second.member.peer_address, host, channel,
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
  if (channel == kIntroductionChannel) {
    Heard(from);
    LearnHosts(payload);
    return CallResult(Introduce());
  }
  const PeerTransport::Handler handler = shared_->FindHandler(channel);
  if (!handler) {
    return CallResult(CallError(ErrorCode::kNotFound, self_.host,
                                "unknown channel " + channel));
  }
  const std::uint64_t id = next_reply_++;
  auto pair = kj::newPromiseAndFulfiller<CallResult>();
  replies_.emplace(id, kj::mv(pair.fulfiller));
  tasks_.add(ExpireReply(id));
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
  it->second->fulfill(kj::mv(result));
  replies_.erase(it);
}

kj::Promise<void> PeerNode::ExpireReply(std::uint64_t id) {
  return timer_.afterDelay(kReplyTimeLimit).then([this, id] {
    CompleteReply(id, CallError(ErrorCode::kInternal, self_.host,
                                "the handler did not reply"));
  });
}

kj::Promise<void> PeerNode::ExchangeHosts() {
  std::vector<std::string> addresses = settings_.seeds;
  for (const auto& [host, known] : hosts_) {
    addresses.push_back(known.member.peer_address);
  }
  for (const std::string& address : addresses) {
    if (address == self_.peer_address) {
      continue;
    }
    tasks_.add(CallAddress(address, "", kIntroductionChannel, Introduce(),
                           kConnectTimeLimit)
                   .then([this, address](CallResult result) {
                     const auto it = links_.find(address);
                     if (result && it != links_.end() &&
                         it->second.ready.get() != nullptr) {
                       Heard(it->second.ready->peer());
                       LearnHosts(result.value());
                     }
                   }));
  }
  Publish();
  return timer_.afterDelay(ToKj(kExchangeInterval)).then([this] {
    return ExchangeHosts();
  });
}

std::string PeerNode::Introduce() const {
  capnp::MallocMessageBuilder message;
  auto hosts = message.initRoot<wire::Introduction>().initHosts(
      static_cast<unsigned>(hosts_.size()));
  unsigned n = 0;
  for (const auto& [host, known] : hosts_) {
    WriteHostInfo(known.member, hosts[n++]);
  }
  const auto words = capnp::messageToFlatArray(message);
  const auto chars = words.asChars();
  return {chars.begin(), chars.size()};
}

void PeerNode::LearnHosts(const std::string& introduction) {
  // The reader needs aligned words.
  auto words = kj::heapArray<capnp::word>(introduction.size() / 8);
  memcpy(words.begin(), introduction.data(), words.asBytes().size());
  capnp::FlatArrayMessageReader reader(words, PeerReaderOptions());
  for (const auto& it : reader.getRoot<wire::Introduction>().getHosts()) {
    const Member member = ReadHostInfo(it);
    if (member.host != self_.host && hosts_.count(member.host) == 0) {
      Heard(member);
    }
  }
}

void PeerNode::Heard(const Member& member) {
  if (member.host == self_.host) {
    return;
  }
  hosts_.insert_or_assign(
      member.host, KnownHost{.member = member, .last_heard = timer_.now()});
}

void PeerNode::Publish() {
  auto members = std::make_shared<MemberList>();
  members->push_back(self_);
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    if (timer_.now() - it->second.last_heard > kSilenceLimit) {
      log_.Warning("no answer from host " + it->first);
      it = hosts_.erase(it);
      continue;
    }
    members->push_back((it++)->second.member);
  }
  const auto previous = shared_->Current();
  const bool is_same =
      std::equal(members->begin(), members->end(), previous->begin(),
                 previous->end(), [](const Member& a, const Member& b) {
                   return a.host == b.host && a.incarnation == b.incarnation;
                 });
  if (is_same) {
    return;
  }
  log_.Info(std::to_string(members->size()) + " members");
  shared_->Publish(members);
  for (const MembershipView::Listener& it : shared_->Listeners()) {
    it(members);
  }
}

void PeerNode::CallNewListeners() {
  for (const MembershipView::Listener& it : shared_->TakeNewListeners()) {
    it(shared_->Current());
  }
}

}  // namespace flamingogauge
