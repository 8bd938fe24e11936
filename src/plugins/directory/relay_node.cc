#include "plugins/directory/relay_node.h"

#include <kj/async-io.h>

#include <cstdint>
#include <map>
#include <utility>

#include "libs/event_loop/event_loop.h"
#include "libs/kernel/log.h"
#include "plugins/directory/relay_codec.h"
#include "plugins/directory/relay_connection.h"

namespace flamingogauge {
namespace {

constexpr std::size_t kQueueCapacity = 4096;
// Questions of other hosts that are held at the same time.
constexpr std::size_t kMaxHeldQuestions = 1024;
// Delay after a failed accept, for example when file descriptors run out.
constexpr kj::Duration kAcceptRetryDelay = 50 * kj::MILLISECONDS;

Error AskError(ErrorCode code, const std::string& peer, std::string message) {
  return {.code = code,
          .step = "ask host",
          .peer = peer,
          .message = std::move(message)};
}

// Receives a question and returns the promise of its reply.
using Dispatch = std::function<kj::Promise<RelayReply>(const RelayQuestion&)>;

// Serves one accepted connection.
class RelayServer final : public wire::DirectoryRelay::Server {
 public:
  RelayServer(std::string peer_ip,
              const std::set<std::string>& allowed,
              const Dispatch& dispatch)
      : peer_ip_(std::move(peer_ip)), allowed_(allowed), dispatch_(dispatch) {}

 protected:
  kj::Promise<void> ask(AskContext context) override {
    if (!allowed_.contains(peer_ip_)) {
      context.getResults().initReply().setIsCallerUnknown(true);
      return kj::READY_NOW;
    }
    const RelayQuestion question =
        ReadRelayQuestion(context.getParams().getQuestion());
    context.releaseParams();
    return dispatch_(question).then([context](const RelayReply& reply) mutable {
      WriteRelayReply(reply, context.getResults().initReply());
    });
  }

 private:
  const std::string peer_ip_;
  const std::set<std::string>& allowed_;
  const Dispatch& dispatch_;
};

}  // namespace

// The part of the node that lives on its thread.
class RelayNode::Endpoint final : private kj::TaskSet::ErrorHandler {
 public:
  Endpoint(kj::AsyncIoContext& io, EventLoop& loop, const Handler& handler)
      : io_(io), loop_(loop), handler_(handler), tasks_(*this) {
    dispatch_ = [this](const RelayQuestion& question) {
      return HoldQuestion(question);
    };
  }

  // Returns an empty string, or the reason why the address is not usable.
  std::string Listen(const std::string& address) {
    KJ_IF_MAYBE (exception, kj::runCatchingExceptions([this, &address] {
                   // A numeric address is parsed without waiting.
                   auto parsed = io_.provider->getNetwork()
                                     .parseAddress(address.c_str())
                                     .wait(io_.waitScope);
                   listener_ = parsed->listen();
                 })) {
      return exception->getDescription().cStr();
    }
    tasks_.add(Accept());
    return "";
  }

  void SetAllowedAddresses(std::set<std::string> addresses) {
    allowed_ = std::move(addresses);
  }

  void Ask(const RelayPeer& peer,
           const RelayQuestion& question,
           std::chrono::milliseconds time_limit,
           const AskCallback& callback) {
    auto call = Connect(peer.address)
                    .then([question](kj::Own<RelayConnection> connection) {
                      return SendQuestion(kj::mv(connection), question);
                    });
    auto& timer = io_.provider->getTimer();
    tasks_.add(
        timer.timeoutAfter(time_limit.count() * kj::MILLISECONDS, kj::mv(call))
            .then([callback](RelayReply reply) { callback(std::move(reply)); },
                  [this, peer, callback](kj::Exception&& exception) {
                    connections_.erase(peer.address);
                    const bool timed_out =
                        exception.getType() == kj::Exception::Type::OVERLOADED;
                    callback(AskError(timed_out ? ErrorCode::kTimeout
                                                : ErrorCode::kUnavailable,
                                      peer.name,
                                      exception.getDescription().cStr()));
                  }));
  }

 private:
  void taskFailed(kj::Exception&& exception) override {
    log_.Debug(std::string("connection ended: ") +
               exception.getDescription().cStr());
  }

  kj::Promise<void> Accept() {
    return listener_->accept().then(
        [this](kj::Own<kj::AsyncIoStream> stream) {
          Serve(kj::mv(stream));
          return Accept();
        },
        [this](kj::Exception&& exception) {
          log_.Warning(std::string("accept failed: ") +
                       exception.getDescription().cStr());
          return io_.provider->getTimer()
              .afterDelay(kAcceptRetryDelay)
              .then([this] { return Accept(); });
        });
  }

  // The peer may have reset the connection already; that must not affect the
  // acceptance of others.
  void Serve(kj::Own<kj::AsyncIoStream> stream) {
    KJ_IF_MAYBE (exception, kj::runCatchingExceptions([this, &stream] {
                   auto server = kj::heap<RelayServer>(PeerIpOf(*stream),
                                                       allowed_, dispatch_);
                   auto connection = kj::refcounted<RelayConnection>(
                       kj::mv(stream),
                       wire::DirectoryRelay::Client(kj::mv(server)));
                   auto ended = connection->OnDisconnect();
                   tasks_.add(ended.attach(kj::mv(connection)));
                 })) {
      log_.Debug(std::string("connection not served: ") +
                 exception->getDescription().cStr());
    }
  }

  kj::Promise<kj::Own<RelayConnection>> Connect(const std::string& address) {
    const auto it = connections_.find(address);
    if (it != connections_.end()) {
      return it->second->AddRef();
    }
    return RelayConnection::Open(io_.provider->getNetwork(), address)
        .then([this, address](kj::Own<RelayConnection> connection) {
          connections_[address] = connection->AddRef();
          tasks_.add(connection->OnDisconnect().then(
              [this, address, ended = connection.get()] {
                Forget(address, ended);
              }));
          return connection;
        });
  }

  // Drops a connection unless another one has replaced it.
  void Forget(const std::string& address, const RelayConnection* ended) {
    const auto it = connections_.find(address);
    if (it != connections_.end() && it->second.get() == ended) {
      connections_.erase(it);
    }
  }

  static kj::Promise<RelayReply> SendQuestion(
      kj::Own<RelayConnection> connection,
      const RelayQuestion& question) {
    auto request = connection->client().askRequest();
    WriteRelayQuestion(question, request.initQuestion());
    return request.send()
        .then(
            [](auto&& response) { return ReadRelayReply(response.getReply()); })
        .attach(kj::mv(connection));
  }

  // Passes a question to the handler, which may reply from another thread.
  kj::Promise<RelayReply> HoldQuestion(const RelayQuestion& question) {
    if (held_.size() >= kMaxHeldQuestions) {
      return KJ_EXCEPTION(OVERLOADED, "too many questions are held");
    }
    const std::uint64_t id = next_id_++;
    auto pair = kj::newPromiseAndFulfiller<RelayReply>();
    held_.emplace(id, kj::mv(pair.fulfiller));
    handler_(question, [this, id, &loop = loop_](RelayReply reply) {
      auto shared = std::make_shared<RelayReply>(std::move(reply));
      // If the queue is full or closed, the asking host's time limit passes.
      (void)loop.Post([this, id, shared] { Reply(id, std::move(*shared)); });
    });
    return kj::mv(pair.promise);
  }

  void Reply(std::uint64_t id, RelayReply reply) {
    const auto it = held_.find(id);
    if (it != held_.end()) {
      it->second->fulfill(kj::mv(reply));
      held_.erase(it);
    }
  }

  kj::AsyncIoContext& io_;
  EventLoop& loop_;
  const Handler& handler_;
  const Logger log_{"directory"};
  Dispatch dispatch_;
  std::set<std::string> allowed_;
  kj::Own<kj::ConnectionReceiver> listener_;
  std::map<std::string, kj::Own<RelayConnection>> connections_;
  std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<RelayReply>>> held_;
  std::uint64_t next_id_ = 1;
  // Declared last, so that pending promises are destroyed before the members
  // that they use.
  kj::TaskSet tasks_;
};

struct RelayNode::Private {
  explicit Private(Handler question_handler)
      : handler(std::move(question_handler)), loop(kQueueCapacity) {}

  const Handler handler;
  // Created and destroyed on the loop's thread.
  Endpoint* endpoint = nullptr;
  EventLoop loop;
};

RelayNode::RelayNode(Handler handler)
    : private_(std::make_unique<Private>(std::move(handler))) {}

RelayNode::~RelayNode() {
  private_->loop.Stop();
}

Result<void> RelayNode::Start(const std::string& address) {
  std::string failure;
  private_->loop.Start([this, &address, &failure](kj::AsyncIoContext& io) {
    auto endpoint =
        std::make_shared<Endpoint>(io, private_->loop, private_->handler);
    failure = endpoint->Listen(address);
    private_->endpoint = endpoint.get();
    return endpoint;
  });
  if (!failure.empty()) {
    return Error{.code = ErrorCode::kUnavailable,
                 .step = "listen for relay questions",
                 .peer = address,
                 .message = failure};
  }
  return boost::outcome_v2::success();
}

void RelayNode::SetAllowedAddresses(std::set<std::string> addresses) {
  // A full queue delays the change until the next list of hosts.
  (void)private_->loop.Post(
      [self = private_.get(), addresses = std::move(addresses)] {
        self->endpoint->SetAllowedAddresses(addresses);
      });
}

void RelayNode::Ask(const RelayPeer& peer,
                    const RelayQuestion& question,
                    std::chrono::milliseconds time_limit,
                    const AskCallback& callback) {
  const bool posted = private_->loop.Post(
      [self = private_.get(), peer, question, time_limit, callback] {
        self->endpoint->Ask(peer, question, time_limit, callback);
      });
  if (!posted) {
    callback(AskError(ErrorCode::kResourceExhausted, peer.name,
                      "the task queue is full or closed"));
  }
}

}  // namespace flamingogauge
