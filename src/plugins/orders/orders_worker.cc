#include "plugins/orders/orders_worker.h"

#include <chrono>
#include <utility>
#include <vector>

#include "plugins/orders/orders_json.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kTickInterval{200};
constexpr std::size_t kRingCapacity = 4096;
// The ids of this plugin's calls use a separate range of sequence numbers,
// because those of callers' requests start at 1.
constexpr std::uint64_t kFirstCallSequence = 1ULL << 62U;
constexpr int kHttpOk = 200;
constexpr int kHttpConflict = 409;

}  // namespace

OrdersWorker::OrdersWorker(const OrdersSettings& settings,
                           ObjectStore& store,
                           UpstreamClient& client,
                           const Member& self)
    : settings_(settings),
      store_(store),
      client_(client),
      self_(self),
      lease_key_("orders/" + self.data_centre),
      ring_(std::make_shared<Ring>(kRingCapacity)),
      deadline_(std::make_shared<OrderDeadline>(MonotonicTime{})),
      lease_({.self = self.incarnation,
              .lease = settings.lease,
              .interval = settings.lease / 3,
              .max_order_delay = std::chrono::ceil<std::chrono::seconds>(
                  settings.max_order_delay)}),
      planner_({.read_interval = settings.read_interval,
                .loads_per_minute = settings.loads_per_minute}),
      next_call_sequence_(kFirstCallSequence) {}

OrdersWorker::~OrdersWorker() {
  Stop();
}

void OrdersWorker::Start(DocumentSource& documents) {
  thread_ = std::thread([this] { Run(); });
  documents.Subscribe([ring = ring_](std::shared_ptr<const Document> document) {
    // If the ring is full, this revision is skipped; the next one replaces it.
    (void)ring->TryPush(DocumentEvent{.document = std::move(document)});
  });
}

void OrdersWorker::Stop() {
  ring_->Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void OrdersWorker::Run() {
  while (!ring_->IsClosed()) {
    if (auto event = ring_->PopUntil(steady_clock::now() + kTickInterval)) {
      const MonotonicTime now = steady_clock::now();
      std::visit([this, now](const auto& it) { Handle(it, now); }, *event);
    }
    Advance(steady_clock::now());
  }
}

void OrdersWorker::Advance(MonotonicTime now) {
  if (const auto action = lease_.OnTime(now)) {
    Execute(*action);
  }
  const std::optional<OrderAuthority> authority = lease_.Authority(now);
  if (authority.has_value() != held_lease_) {
    held_lease_ = authority.has_value();
    logger_.Info(held_lease_
                     ? "this host now sends orders in " + self_.data_centre
                     : "this host no longer sends orders");
  }
  fencing_number_ = authority ? authority->fencing_number : 0;
  deadline_->store(authority ? authority->valid_until : MonotonicTime{});
  for (const OrderAction& it : planner_.OnTime(now, authority)) {
    std::visit([this](const auto& action) { Execute(action); }, it);
  }
}

void OrdersWorker::Execute(const LeaseAction& action) {
  const auto on_written = [ring = ring_](Result<StoredObject> result) {
    (void)ring->TryPush(LeaseWrittenEvent{.object = std::move(result)});
  };
  switch (action.kind) {
    case LeaseAction::Kind::kRead:
      store_.Get(lease_key_, [ring = ring_](Result<StoredObject> result) {
        (void)ring->TryPush(LeaseReadEvent{.object = std::move(result)});
      });
      break;
    case LeaseAction::Kind::kCreate:
      store_.Create(lease_key_, LeaseToJson(self_.incarnation), on_written);
      break;
    case LeaseAction::Kind::kUpdate:
      store_.Update(lease_key_, LeaseToJson(self_.incarnation),
                    action.expected_version, on_written);
      break;
  }
}

UpstreamCall OrdersWorker::MakeCall(const UpstreamId& upstream,
                                    const std::string& address) {
  return {.id = {.incarnation = self_.incarnation,
                 .sequence = next_call_sequence_++},
          .upstream = upstream,
          .address = address,
          // An order that has not been executed by then counts as lost.
          .first_byte_time_limit = settings_.max_order_delay,
          .total_time_limit = settings_.max_order_delay};
}

void OrdersWorker::Execute(const ReadModelsAction& action) {
  UpstreamCall call = MakeCall(action.upstream, action.address);
  call.method = "GET";
  call.path = "/models";
  client_.Start(std::move(call),
                std::make_shared<OrderCall>(
                    nullptr, [ring = ring_, upstream = action.upstream](
                                 OrderCall::Answer answer) {
                      (void)ring->TryPush(ModelsEvent{
                          .upstream = upstream, .answer = std::move(answer)});
                    }));
}

void OrdersWorker::Execute(const Order& order) {
  ++orders_sent_;
  logger_.Info(std::string(order.kind == OrderKind::kLoad
                               ? "ordering load of "
                               : "ordering unload of ") +
               order.model + " on " + order.upstream + ", fencing number " +
               std::to_string(order.fencing_number));
  UpstreamCall call = MakeCall(order.upstream, order.address);
  call.path = "/orders";
  call.headers = {{.name = "Content-Type", .value = "application/json"}};
  call.body = OrderToJson(order);
  client_.Start(std::move(call),
                std::make_shared<OrderCall>(
                    deadline_, [ring = ring_, order](OrderCall::Answer answer) {
                      (void)ring->TryPush(OrderEndedEvent{
                          .order = order, .answer = std::move(answer)});
                    }));
}

void OrdersWorker::Handle(const DocumentEvent& event, MonotonicTime /*now*/) {
  std::vector<OrderTarget> targets;
  for (const UpstreamSpec& it : event.document->upstreams) {
    if (it.kind == UpstreamKind::kEngine && !it.leaving &&
        it.data_centre == self_.data_centre) {
      targets.push_back(
          {.upstream = it.id,
           .address = it.address,
           .models = std::set<ModelId>(it.targets.begin(), it.targets.end()),
           .checks_fencing = it.checks_fencing});
    }
  }
  planner_.SetTargets(std::move(targets));
}

void OrdersWorker::Handle(const LeaseReadEvent& event, MonotonicTime now) {
  if (event.object) {
    const std::optional<Incarnation> holder =
        LeaseFromJson(event.object.value().value);
    // A lease object that cannot be parsed is treated as held by an unknown
    // host.
    lease_.OnRead(now, LeaseObject{.holder = holder.value_or(Incarnation{}),
                                   .version = event.object.value().version});
  } else if (event.object.error().code == ErrorCode::kNotFound) {
    lease_.OnRead(now, std::nullopt);
  } else {
    lease_.OnReadFailed(now);
  }
}

void OrdersWorker::Handle(const LeaseWrittenEvent& event, MonotonicTime now) {
  lease_.OnWritten(now, ToStoreWriteResult(event.object),
                   event.object ? event.object.value().version : 0);
}

void OrdersWorker::Handle(const ModelsEvent& event, MonotonicTime now) {
  planner_.OnModels(now, event.upstream,
                    event.answer.status == kHttpOk
                        ? ModelsFromJson(event.answer.body)
                        : std::nullopt);
}

void OrdersWorker::Handle(const OrderEndedEvent& event, MonotonicTime now) {
  OrderResult result = OrderResult::kFailed;
  if (event.answer.status == kHttpOk) {
    result = OrderResult::kDone;
  } else if (event.answer.status == kHttpConflict) {
    result = OrderResult::kRefusedOld;
    ++orders_refused_;
    logger_.Warning(event.order.upstream +
                    " refused an order with fencing number " +
                    std::to_string(event.order.fencing_number));
    // If the lease was renewed after the order was sent, the number is already
    // higher.
    if (event.order.fencing_number == fencing_number_) {
      lease_.OnOrderRefused();
    }
  }
  planner_.OnOrderEnded(now, event.order.upstream, result);
}

std::string OrdersWorker::DumpState() const {
  return "{\"enabled\":true,\"fencing_number\":" +
         std::to_string(fencing_number_.load()) +
         ",\"orders_sent\":" + std::to_string(orders_sent_.load()) +
         ",\"orders_refused\":" + std::to_string(orders_refused_.load()) + "}";
}

}  // namespace flamingogauge
