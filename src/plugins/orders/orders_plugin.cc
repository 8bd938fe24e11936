#include "plugins/orders/orders_plugin.h"

#include "libs/services/document_source.h"
#include "libs/services/membership_view.h"
#include "libs/services/object_store.h"
#include "libs/services/upstream_client.h"
#include "plugins/orders/orders_worker.h"

namespace flamingogauge {

OrdersPlugin::OrdersPlugin(OrdersSettings settings) : settings_(settings) {}

OrdersPlugin::~OrdersPlugin() = default;

Result<void> OrdersPlugin::Initialize(ServiceRegistry& /*registry*/) {
  return CheckOrdersSettings(settings_);
}

Result<void> OrdersPlugin::ExtensionsInitialized(ServiceRegistry& registry) {
  if (!settings_.enabled) {
    return boost::outcome_v2::success();
  }
  const auto store = registry.Find<ObjectStore>(ObjectStore::kServiceName);
  const auto documents =
      registry.Find<DocumentSource>(DocumentSource::kServiceName);
  const auto members =
      registry.Find<MembershipView>(MembershipView::kServiceName);
  const auto client =
      registry.Find<UpstreamClient>(UpstreamClient::kServiceName);
  if (!store || !documents || !members || !client) {
    return !store       ? store.error()
           : !documents ? documents.error()
           : !members   ? members.error()
                        : client.error();
  }
  worker_ = std::make_unique<OrdersWorker>(
      settings_, *store.value(), *client.value(), members.value()->Self());
  worker_->Start(*documents.value());
  return boost::outcome_v2::success();
}

void OrdersPlugin::AboutToShutdown(std::function<void()> done) {
  // The lease is not released but expires, so shutdown does not wait for the
  // store.
  if (worker_ != nullptr) {
    worker_->Stop();
  }
  done();
}

std::string OrdersPlugin::DumpState() const {
  return worker_ == nullptr ? "{\"enabled\":false}" : worker_->DumpState();
}

}  // namespace flamingogauge
