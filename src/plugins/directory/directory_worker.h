#ifndef FLAMINGOGAUGE_PLUGINS_DIRECTORY_DIRECTORY_WORKER_H_
#define FLAMINGOGAUGE_PLUGINS_DIRECTORY_DIRECTORY_WORKER_H_

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "libs/kernel/bounded_ring.h"
#include "libs/kernel/event_log.h"
#include "libs/metrics/metrics_registry.h"
#include "libs/services/fleet_source.h"
#include "libs/services/fleet_store.h"
#include "plugins/directory/directory_settings.h"
#include "plugins/directory/table_follower.h"

namespace flamingogauge {

// Follows the tables of the store on a dedicated thread, registers this host
// there, and publishes snapshots.
class DirectoryWorker {
 public:
  DirectoryWorker(const DirectorySettings& settings,
                  FleetStore& store,
                  EventLog& log,
                  MetricsRegistry& metrics,
                  FleetSource::Listener listener);
  DirectoryWorker(const DirectoryWorker&) = delete;
  DirectoryWorker& operator=(const DirectoryWorker&) = delete;
  ~DirectoryWorker();

  // Applies the watch wait times, starting with the next watch.
  void SetWaits(const DirectorySettings& settings);
  void OnHostSilent(const std::string& host);
  // Removes this host's entry; calls `done` when the store has responded.
  void Deregister(std::function<void()> done);
  // Returns a JSON object for the state dump.
  std::string DumpState() const;

 private:
  using Task = std::function<void()>;

  void Run();
  MonotonicTime NextWakeUp() const;
  void StartCalls(MonotonicTime now);
  template <typename T>
  void StartCall(TableFollower<T>& follower,
                 FleetTable<T>& table,
                 std::chrono::milliseconds wait,
                 bool may_be_stale,
                 MonotonicTime now);
  template <typename T>
  void OnAnswer(TableFollower<T>& follower, const Result<FleetPage<T>>& answer);
  void Register(MonotonicTime now);
  void Publish();
  // Counts a call by table and result.
  void CountCall(std::string_view table, const Error* error);
  void LogStoreAvailability(const Error* error);
  void LogRouting();
  void Post(Task task);

  DirectorySettings settings_;
  FleetStore& store_;
  EventLog& log_;
  MetricsRegistry& metrics_;
  const FleetSource::Listener listener_;
  // Shared with store calls that may complete after this object's destruction.
  std::shared_ptr<BoundedRing<Task>> ring_;
  TableFollower<RoutingTable> routing_;
  TableFollower<UpstreamEntry> upstreams_;
  TableFollower<HostEntry> hosts_;
  FleetSnapshot snapshot_;
  MonotonicTime next_register_at_;
  bool registering_ = false;
  bool registered_ = false;
  bool leaving_ = false;
  bool store_failing_ = false;
  mutable std::mutex dump_mutex_;
  FleetSnapshot published_;
  std::thread thread_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_DIRECTORY_DIRECTORY_WORKER_H_
