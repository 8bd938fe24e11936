#ifndef FLAMINGOGAUGE_PLUGINS_ORDERS_ORDERS_WORKER_H_
#define FLAMINGOGAUGE_PLUGINS_ORDERS_ORDERS_WORKER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <variant>

#include "libs/document/document.h"
#include "libs/kernel/bounded_ring.h"
#include "libs/kernel/log.h"
#include "libs/model/member.h"
#include "libs/orders/order_lease.h"
#include "libs/orders/order_planner.h"
#include "libs/services/document_source.h"
#include "libs/services/object_store.h"
#include "libs/services/upstream_client.h"
#include "plugins/orders/order_call.h"
#include "plugins/orders/orders_settings.h"

namespace flamingogauge {

// Runs the orders thread, which maintains the lease and executes the planner's
// actions.
class OrdersWorker {
 public:
  OrdersWorker(const OrdersSettings& settings,
               ObjectStore& store,
               UpstreamClient& client,
               const Member& self);
  OrdersWorker(const OrdersWorker&) = delete;
  OrdersWorker& operator=(const OrdersWorker&) = delete;
  ~OrdersWorker();

  void Start(DocumentSource& documents);
  void Stop();
  std::string DumpState() const;

 private:
  struct DocumentEvent {
    std::shared_ptr<const Document> document;
  };
  struct LeaseReadEvent {
    Result<StoredObject> object;
  };
  struct LeaseWrittenEvent {
    Result<StoredObject> object;
  };
  struct ModelsEvent {
    UpstreamId upstream;
    OrderCall::Answer answer;
  };
  struct OrderEndedEvent {
    Order order;
    OrderCall::Answer answer;
  };
  using Event = std::variant<DocumentEvent,
                             LeaseReadEvent,
                             LeaseWrittenEvent,
                             ModelsEvent,
                             OrderEndedEvent>;
  using Ring = BoundedRing<Event>;

  void Run();
  void Handle(const DocumentEvent& event, MonotonicTime now);
  void Handle(const LeaseReadEvent& event, MonotonicTime now);
  void Handle(const LeaseWrittenEvent& event, MonotonicTime now);
  void Handle(const ModelsEvent& event, MonotonicTime now);
  void Handle(const OrderEndedEvent& event, MonotonicTime now);
  void Advance(MonotonicTime now);
  void Execute(const LeaseAction& action);
  void Execute(const ReadModelsAction& action);
  void Execute(const Order& order);
  UpstreamCall MakeCall(const UpstreamId& upstream, const std::string& address);

  const OrdersSettings settings_;
  ObjectStore& store_;
  UpstreamClient& client_;
  const Member self_;
  const std::string lease_key_;
  Logger logger_{"orders"};
  // Shared with callbacks, which may outlive the worker.
  std::shared_ptr<Ring> ring_;
  std::shared_ptr<OrderDeadline> deadline_;
  OrderLease lease_;
  OrderPlanner planner_;
  std::uint64_t next_call_sequence_;
  bool held_lease_ = false;
  std::atomic<std::uint64_t> fencing_number_{0};
  std::atomic<std::uint64_t> orders_sent_{0};
  std::atomic<std::uint64_t> orders_refused_{0};
  std::thread thread_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_ORDERS_ORDERS_WORKER_H_
