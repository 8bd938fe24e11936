#include "plugins/scheduler/scheduler_plugin.h"

#include <atomic>
#include <chrono>
#include <future>
#include <random>
#include <thread>
#include <utility>
#include <variant>

#include "libs/kernel/bounded_ring.h"
#include "libs/kernel/log.h"
#include "libs/services/document_source.h"
#include "libs/services/membership_view.h"
#include "libs/services/peer_transport.h"
#include "libs/services/quarantine_service.h"
#include "libs/services/upstream_client.h"
#include "plugins/scheduler/scheduler_core.h"

namespace flamingogauge {
namespace {

using Clock = std::chrono::steady_clock;

// Timeout for a state dump by the scheduler thread.
constexpr std::chrono::milliseconds kDumpTimeout{500};

constexpr char kChannel[] = "scheduler";

// Timeout of the peer call that delivers a batch.
constexpr std::chrono::milliseconds kCallTimeout{1000};

struct ListenerMessage {
  PermitBroker::Listener listener;
};
struct CancelInput {
  RequestId id;
};
struct PeerInput {
  HostId from;
  std::string payload;
};
struct DumpMessage {
  std::shared_ptr<std::promise<std::string>> result;
};
struct DrainMessage {
  std::function<void()> done;
};

using Message = std::variant<ListenerMessage,
                             PermitRequest,
                             CancelInput,
                             PermitOutcome,
                             PeerInput,
                             std::shared_ptr<const MemberList>,
                             std::shared_ptr<const Document>,
                             LoadReport,
                             CacheEvent,
                             DumpMessage,
                             DrainMessage>;

std::chrono::seconds SinceEpoch() {
  return std::chrono::duration_cast<std::chrono::seconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

Incarnation RandomIncarnation() {
  std::random_device device;
  const auto next = [&device] {
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
  };
  return {.high = next(), .low = next()};
}

}  // namespace

struct SchedulerPlugin::Private {
  explicit Private(SchedulerSettings plugin_settings)
      : settings(std::move(plugin_settings)), ring(settings.ring_capacity) {}

  void Run();
  void Handle(MonotonicTime now, Message message);
  // Drops the message if the ring is full. The slot of a dropped outcome stays
  // occupied until the permit expires.
  void Push(Message message, const char* what);
  void Transmit(const HostId& to, std::string payload);

  SchedulerSettings settings;
  Logger log{"scheduler"};
  BoundedRing<Message> ring;
  std::unique_ptr<SchedulerCore> core;
  PeerTransport* transport = nullptr;
  PermitBroker::Listener listener;
  std::function<void()> drained;
  std::atomic<bool> draining{false};
  std::atomic<std::uint64_t> dropped{0};
  std::thread thread;
};

void SchedulerPlugin::Private::Push(Message message, const char* what) {
  if (!ring.TryPush(std::move(message))) {
    if (dropped.fetch_add(1) == 0) {
      log.Warning(std::string("scheduler queue is full; dropped a ") + what);
    }
  }
}

void SchedulerPlugin::Private::Transmit(const HostId& to, std::string payload) {
  if (transport != nullptr) {
    // Errors are ignored: the next renewal or resend makes up for a lost batch.
    transport->Call(to, kChannel, std::move(payload), kCallTimeout,
                    [](const Result<std::string>&) {});
  }
}

void SchedulerPlugin::Private::Run() {
  MonotonicTime next_tick = Clock::now();
  while (!ring.IsClosed()) {
    std::optional<Message> message = ring.PopUntil(next_tick);
    const MonotonicTime now = Clock::now();
    if (message.has_value()) {
      Handle(now, std::move(*message));
    }
    if (now >= next_tick) {
      core->Advance(now);
      next_tick = now + settings.tick;
    }
    // Outgoing messages are batched while more input is queued.
    if (!message.has_value() || ring.Size() == 0) {
      core->Flush(now);
    }
    if (drained && core->IsIdle()) {
      std::exchange(drained, nullptr)();
    }
  }
}

void SchedulerPlugin::Private::Handle(MonotonicTime now, Message message) {
  if (auto* request = std::get_if<PermitRequest>(&message)) {
    core->Request(now, std::move(*request));
  } else if (auto* outcome = std::get_if<PermitOutcome>(&message)) {
    core->Report(now, *outcome);
  } else if (auto* cancel = std::get_if<CancelInput>(&message)) {
    core->Cancel(now, cancel->id);
  } else if (auto* load = std::get_if<LoadReport>(&message)) {
    core->OnLoad(now, *load);
  } else if (auto* event = std::get_if<CacheEvent>(&message)) {
    core->OnCache(now, *event);
  } else if (auto* document =
                 std::get_if<std::shared_ptr<const Document>>(&message)) {
    core->OnDocument(now, SinceEpoch(), std::move(*document));
  } else if (auto* members =
                 std::get_if<std::shared_ptr<const MemberList>>(&message)) {
    core->OnMembers(now, std::move(*members));
  } else if (auto* peer = std::get_if<PeerInput>(&message)) {
    Result<void> handled = core->OnPayload(now, peer->from, peer->payload);
    if (!handled) {
      log.Warning(ToString(handled.error()));
    }
  } else if (auto* set = std::get_if<ListenerMessage>(&message)) {
    core->SetListener(std::move(set->listener));
  } else if (auto* dump = std::get_if<DumpMessage>(&message)) {
    dump->result->set_value(core->Dump(now));
  } else if (auto* drain = std::get_if<DrainMessage>(&message)) {
    drained = std::move(drain->done);
  }
}

SchedulerPlugin::SchedulerPlugin(SchedulerSettings settings)
    : d_(std::make_unique<Private>(std::move(settings))) {}

SchedulerPlugin::~SchedulerPlugin() {
  d_->ring.Close();
  if (d_->thread.joinable()) {
    d_->thread.join();
  }
}

Result<void> SchedulerPlugin::Initialize(ServiceRegistry& registry) {
  Result<void> checked = CheckSchedulerSettings(d_->settings);
  if (!checked) {
    return checked;
  }
  return registry.Register<PermitBroker>(PermitBroker::kServiceName, this);
}

Result<void> SchedulerPlugin::ExtensionsInitialized(ServiceRegistry& registry) {
  Result<DocumentSource*> documents =
      registry.Find<DocumentSource>(DocumentSource::kServiceName);
  if (!documents) {
    return documents.error();
  }
  Incarnation incarnation = RandomIncarnation();
  const Result<MembershipView*> membership =
      registry.Find<MembershipView>(MembershipView::kServiceName);
  if (membership) {
    const Member& self = membership.value()->Self();
    d_->settings.host = self.host;
    d_->settings.data_centre = self.data_centre;
    incarnation = self.incarnation;
  }
  d_->core = std::make_unique<SchedulerCore>(
      d_->settings, incarnation, [this](const HostId& to, std::string payload) {
        d_->Transmit(to, std::move(payload));
      });
  d_->core->SetListener(d_->listener);
  if (Result<QuarantineService*> quarantine =
          registry.Find<QuarantineService>(QuarantineService::kServiceName)) {
    d_->core->SetQuarantineHandler(
        [service = quarantine.value()](const Fingerprint& fingerprint) {
          service->Quarantine(fingerprint);
        });
  }
  if (Result<PeerTransport*> transport =
          registry.Find<PeerTransport>(PeerTransport::kServiceName)) {
    d_->transport = transport.value();
    d_->transport->Handle(
        kChannel, [this](const HostId& from, std::string payload,
                         const PeerTransport::ReplyCallback& reply) {
          if (d_->ring.TryPush(PeerInput{from, std::move(payload)})) {
            reply(std::string());
          } else {
            reply(Error{.code = ErrorCode::kResourceExhausted,
                        .step = "receive scheduler batch",
                        .peer = from,
                        .message = "scheduler queue is full"});
          }
        });
  }
  d_->thread = std::thread([this] { d_->Run(); });
  documents.value()->Subscribe([this](std::shared_ptr<const Document> it) {
    d_->Push(std::move(it), "document");
  });
  if (membership) {
    membership.value()->Subscribe(
        [this](std::shared_ptr<const MemberList> members) {
          d_->Push(std::move(members), "member list");
        });
  }
  if (Result<UpstreamClient*> client =
          registry.Find<UpstreamClient>(UpstreamClient::kServiceName)) {
    client.value()->SubscribeLoad(
        [this](LoadReport it) { d_->Push(std::move(it), "load report"); });
    client.value()->SubscribeCache(
        [this](CacheEvent it) { d_->Push(std::move(it), "cache event"); });
  }
  return boost::outcome_v2::success();
}

void SchedulerPlugin::AboutToShutdown(std::function<void()> done) {
  d_->draining = true;
  if (!d_->thread.joinable() || !d_->ring.TryPush(DrainMessage{done})) {
    done();
  }
}

std::string SchedulerPlugin::DumpState() const {
  auto result = std::make_shared<std::promise<std::string>>();
  std::future<std::string> text = result->get_future();
  if (!d_->ring.TryPush(DumpMessage{result}) ||
      text.wait_for(kDumpTimeout) != std::future_status::ready) {
    return R"({"error":"the scheduler thread is busy"})";
  }
  return text.get();
}

void SchedulerPlugin::SetListener(Listener listener) {
  d_->listener = listener;
  if (d_->thread.joinable()) {
    d_->Push(ListenerMessage{std::move(listener)}, "listener");
  }
}

void SchedulerPlugin::Request(PermitRequest request) {
  const RequestId id = request.id;
  const bool draining = d_->draining;
  if (draining || !d_->ring.TryPush(std::move(request))) {
    d_->listener.on_refused(
        id,
        {.kind = draining ? RefusalKind::kDraining : RefusalKind::kUnavailable,
         .run_status = RunStatus::kAttemptNotRun,
         .message = draining ? "schedule: this host is draining"
                             : "schedule: scheduler queue is full",
         .retry_after = std::chrono::milliseconds(1000)});
  }
}

void SchedulerPlugin::Cancel(RequestId id) {
  d_->Push(CancelInput{id}, "cancellation");
}

void SchedulerPlugin::Report(PermitOutcome outcome) {
  d_->Push(std::move(outcome), "permit outcome");
}

}  // namespace flamingogauge
