#include "plugins/peers/peers_plugin.h"

#include <sys/random.h>
#include <unistd.h>

#include <array>
#include <utility>

#include "libs/event_loop/event_loop.h"
#include "libs/kernel/log.h"
#include "plugins/peers/listen_socket.h"
#include "plugins/peers/peer_node.h"
#include "plugins/peers/peers_shared.h"

namespace flamingogauge {
namespace {

Result<Incarnation> GenerateIncarnation() {
  Incarnation incarnation;
  if (getrandom(&incarnation, sizeof(incarnation), 0) !=
      static_cast<ssize_t>(sizeof(incarnation))) {
    return Error{.code = ErrorCode::kInternal,
                 .step = "generate incarnation",
                 .peer = {},
                 .message = "getrandom did not return enough random bytes"};
  }
  return incarnation;
}

}  // namespace

class PeersPlugin::Private {
 public:
  explicit Private(PeersSettings s)
      : settings(std::move(s)),
        shared(std::make_shared<PeersShared>()),
        loop(std::make_shared<EventLoop>(settings.queue_capacity)) {}

  ~Private() {
    loop->Stop();
    if (listen_fd >= 0) {
      close(listen_fd);
    }
  }

  Result<void> Listen();

  PeersSettings settings;
  Member self;
  int listen_fd = -1;
  int listen_port = 0;
  std::shared_ptr<PeersShared> shared;
  std::shared_ptr<EventLoop> loop;
  // Lives on the loop's thread.
  PeerNode* node = nullptr;
  Logger log{"peers"};
};

Result<void> PeersPlugin::Private::Listen() {
  const Result<SocketAddress> address =
      ParseSocketAddress(settings.listen_address);
  if (!address) {
    return address.error();
  }
  const Result<ListenSocket> socket = OpenListenSocket(address.value());
  if (!socket) {
    return socket.error();
  }
  listen_fd = socket.value().fd;
  listen_port = socket.value().address.port;
  SocketAddress advertised = socket.value().address;
  if (!settings.advertised_address.empty()) {
    const Result<SocketAddress> given =
        ParseSocketAddress(settings.advertised_address);
    if (!given) {
      return given.error();
    }
    advertised = given.value();
    if (advertised.port == 0) {
      advertised.port = socket.value().address.port;
    }
  }
  self.peer_address = ToString(advertised);
  return boost::outcome_v2::success();
}

PeersPlugin::PeersPlugin(PeersSettings settings)
    : d_(std::make_unique<Private>(std::move(settings))) {}

PeersPlugin::~PeersPlugin() = default;

Result<void> PeersPlugin::Initialize(ServiceRegistry& registry) {
  Result<void> checked = CheckPeersSettings(d_->settings);
  if (!checked) {
    return checked.error();
  }
  Result<Incarnation> incarnation = GenerateIncarnation();
  if (!incarnation) {
    return incarnation.error();
  }
  d_->self.host = d_->settings.host;
  d_->self.data_centre = d_->settings.data_centre;
  d_->self.region = d_->settings.region;
  d_->self.incarnation = incarnation.value();
  Result<void> listening = d_->Listen();
  if (!listening) {
    return listening.error();
  }
  d_->shared->Publish(std::make_shared<MemberList>(MemberList{d_->self}));
  Result<void> registered =
      registry.Register<PeerTransport>(PeerTransport::kServiceName, this);
  if (!registered) {
    return registered.error();
  }
  return registry.Register<MembershipView>(MembershipView::kServiceName, this);
}

Result<void> PeersPlugin::ExtensionsInitialized(ServiceRegistry& registry) {
  const Result<HostList*> found =
      registry.Find<HostList>(HostList::kServiceName);
  HostList* host_list = found ? found.value() : nullptr;
  d_->loop->Start([this, host_list](kj::AsyncIoContext& io) {
    auto node = std::make_shared<PeerNode>(io, d_->settings, d_->self,
                                           std::exchange(d_->listen_fd, -1),
                                           d_->loop, d_->shared, host_list);
    d_->node = node.get();
    return std::shared_ptr<void>(node);
  });
  d_->log.Info("host " + d_->self.host + " listens for peers on " +
               d_->self.peer_address + ", incarnation " +
               ToString(d_->self.incarnation));
  return boost::outcome_v2::success();
}

void PeersPlugin::AboutToShutdown(std::function<void()> done) {
  Private* d = d_.get();
  if (d->node == nullptr ||
      !d->loop->Post([d, done] { d->node->AnnounceLeaving(done); })) {
    done();
  }
}

void PeersPlugin::AnnounceLeaving() {
  Private* d = d_.get();
  if (!d->loop->Post([d] { d->node->AnnounceLeaving([] {}); })) {
    d->log.Error(
        "task queue is full or closed; the leave announcement was "
        "not sent");
  }
}

std::string PeersPlugin::DumpState() const {
  const auto members = d_->shared->Current();
  std::array<std::size_t, 4> states{};
  for (const Member& it : *members) {
    ++states.at(static_cast<std::size_t>(it.state));
  }
  const auto number = [](const char* name, std::uint64_t value) {
    return ",\"" + std::string(name) + "\":" + std::to_string(value);
  };
  const PeersShared& shared = *d_->shared;
  return "{\"host\":\"" + d_->self.host + "\",\"address\":\"" +
         d_->self.peer_address + "\",\"incarnation\":\"" +
         ToString(d_->self.incarnation) + "\"" +
         number("members", members->size()) + number("alive", states[0]) +
         number("suspected", states[1]) + number("leaving", states[2]) +
         number("dead", states[3]) +
         number("document_revision", shared.document_revision) +
         number("calls_sent", shared.calls_sent) +
         number("calls_failed", shared.calls_failed) +
         number("calls_received", shared.calls_received) +
         number("replies_lost", shared.replies_lost) +
         number("connections_opened", shared.connections_opened) +
         number("connections_accepted", shared.connections_accepted) +
         number("open_connections", shared.open_connections) +
         number("bytes_sent", shared.bytes_sent) +
         number("bytes_received", shared.bytes_received) +
         number("segments_sent", shared.segments_sent) +
         number("segments_received", shared.segments_received) +
         number("queue", d_->loop->QueueSize()) + "}";
}

void PeersPlugin::Handle(std::string channel, Handler handler) {
  d_->shared->SetHandler(std::move(channel), std::move(handler));
}

void PeersPlugin::Call(HostId host,
                       std::string channel,
                       std::string payload,
                       std::chrono::milliseconds time_limit,
                       ReplyCallback callback) {
  // The callback is shared because Post consumes the task even when the ring is
  // full, and the callback is still needed to report the error.
  const auto shared_callback =
      std::make_shared<ReplyCallback>(std::move(callback));
  Private* d = d_.get();
  const bool is_queued = d->loop->Post([d, host, channel = std::move(channel),
                                        payload = std::move(payload),
                                        time_limit, shared_callback] {
    d->node->Call(host, channel, payload, time_limit,
                  std::move(*shared_callback));
  });
  if (!is_queued) {
    (*shared_callback)(Error{.code = ErrorCode::kResourceExhausted,
                             .step = "call peer",
                             .peer = std::move(host),
                             .message =
                                 "task queue of the peers thread is full "
                                 "or closed"});
  }
}

int PeersPlugin::ListenPort() const {
  return d_->listen_port;
}

const Member& PeersPlugin::Self() const {
  return d_->self;
}

std::shared_ptr<const MemberList> PeersPlugin::Current() const {
  return d_->shared->Current();
}

void PeersPlugin::Subscribe(Listener listener) {
  d_->shared->AddListener(std::move(listener));
  Private* d = d_.get();
  if (!d->loop->Post([d] { d->node->CallNewListeners(); })) {
    d->log.Error(
        "task queue is full or closed; a membership listener was not called");
  }
}

void PeersPlugin::SetDocumentRevision(std::uint64_t revision) {
  d_->shared->document_revision = revision;
}

}  // namespace flamingogauge
