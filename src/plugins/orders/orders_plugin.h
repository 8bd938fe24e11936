#ifndef FLAMINGOGAUGE_PLUGINS_ORDERS_ORDERS_PLUGIN_H_
#define FLAMINGOGAUGE_PLUGINS_ORDERS_ORDERS_PLUGIN_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "libs/kernel/plugin.h"
#include "plugins/orders/orders_settings.h"

namespace flamingogauge {

class OrdersWorker;

// Orders the engines of this data centre to load and unload models, so that
// each engine serves the models that the document assigns to it. Only the host
// that holds the data centre's lease in the platform's store sends orders.
class OrdersPlugin : public Plugin {
 public:
  explicit OrdersPlugin(OrdersSettings settings);
  ~OrdersPlugin() override;

  std::string_view Name() const override { return "orders"; }
  Result<void> Initialize(ServiceRegistry& registry) override;
  Result<void> ExtensionsInitialized(ServiceRegistry& registry) override;
  void AboutToShutdown(std::function<void()> done) override;
  std::string DumpState() const override;

 private:
  const OrdersSettings settings_;
  std::unique_ptr<OrdersWorker> worker_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_ORDERS_ORDERS_PLUGIN_H_
