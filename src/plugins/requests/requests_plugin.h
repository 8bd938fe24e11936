#ifndef FLAMINGOGAUGE_PLUGINS_REQUESTS_REQUESTS_PLUGIN_H_
#define FLAMINGOGAUGE_PLUGINS_REQUESTS_REQUESTS_PLUGIN_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include "libs/kernel/log.h"
#include "libs/kernel/plugin.h"
#include "libs/metrics/metrics_registry.h"
#include "libs/services/request_intake.h"
#include "plugins/requests/request_inbox.h"
#include "plugins/requests/request_table.h"
#include "plugins/requests/requests_settings.h"

namespace flamingogauge {

// Processes callers' requests from acceptance to response, on one thread.
// Provides RequestIntake and the process's MetricsRegistry.
class RequestsPlugin : public Plugin, public RequestIntake {
 public:
  explicit RequestsPlugin(RequestsSettings settings);
  ~RequestsPlugin() override;

  std::string_view Name() const override { return "requests"; }
  Result<void> Initialize(ServiceRegistry& registry) override;
  Result<void> ExtensionsInitialized(ServiceRegistry& registry) override;
  void AboutToShutdown(std::function<void()> done) override;
  std::string DumpState() const override;

  RequestId Submit(CallerRequest request,
                   std::shared_ptr<CallerSink> sink) override;
  void CallerGone(RequestId id) override;
  void CallerDrained(RequestId id) override;
  void BeginDrain() override;
  bool IsReady() const override;

 private:
  void Run();
  void HandleDrain(MonotonicTime now);

  const RequestsSettings settings_;
  const Logger log_{"requests"};
  MetricsRegistry registry_;
  RequestMetrics metrics_;
  std::shared_ptr<RequestInbox> inbox_;
  DocumentSource* document_ = nullptr;
  Incarnation incarnation_;
  std::atomic<std::uint64_t> next_sequence_ = 1;
  std::atomic<bool> draining_ = false;
  std::atomic<std::size_t> in_progress_ = 0;

  // Locked by the requests thread while it handles messages, by DumpState and
  // by AboutToShutdown.
  mutable std::mutex mutex_;
  std::unique_ptr<RequestTable> table_;
  bool drain_handled_ = false;
  MonotonicTime next_drain_at_;
  std::function<void()> on_drained_;
  std::thread thread_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_REQUESTS_REQUESTS_PLUGIN_H_
