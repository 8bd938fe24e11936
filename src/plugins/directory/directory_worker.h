#ifndef FLAMINGOGAUGE_PLUGINS_DIRECTORY_DIRECTORY_WORKER_H_
#define FLAMINGOGAUGE_PLUGINS_DIRECTORY_DIRECTORY_WORKER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "libs/directory/fleet_view.h"
#include "libs/directory/held_questions.h"
#include "libs/directory/source_policy.h"
#include "libs/kernel/bounded_ring.h"
#include "libs/kernel/event_log.h"
#include "libs/metrics/metrics_registry.h"
#include "libs/services/fleet_source.h"
#include "libs/services/fleet_store.h"
#include "plugins/directory/directory_settings.h"
#include "plugins/directory/host_registration.h"
#include "plugins/directory/relay_node.h"
#include "plugins/directory/store_reader.h"

namespace flamingogauge {

// Keeps the view of the fleet up to date on a dedicated thread: reads the store
// or asks a host that does, answers the questions of other hosts, registers
// this host, and publishes snapshots.
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

  // Opens the relay address, if there is one, and starts the thread.
  Result<void> Start();

  // Applies the wait times, starting with the next call.
  void SetWaits(const DirectorySettings& settings);
  void OnHostSilent(const std::string& host);
  void OnHostUnlisted(const std::string& host);
  // Stops registering this host; its entry stays in the store.
  void BeginShutdown();
  // Returns a JSON object for the state dump.
  std::string DumpState() const;

 private:
  void Run();
  // True while the list of hosts has to be read, whoever reads the rest.
  bool WantsHosts(MonotonicTime now) const;
  // True while the list of hosts is awaited, without which it is not known who
  // reads the store.
  bool IsJoining(MonotonicTime now) const;
  void ChooseSource(MonotonicTime now);
  void Ask(const RelayPeer& peer, bool is_probe, MonotonicTime now);
  void OnReply(const RelayPeer& peer,
               MonotonicTime asked_at,
               const Result<RelayReply>& reply);
  void OnQuestion(const RelayQuestion& question,
                  RelayNode::ReplyCallback reply);
  void ReplyToQuestions(MonotonicTime now);
  void OnChanges(const FleetChanges& changes);
  void OnHostsChanged();
  void CopyRollouts();
  MonotonicTime NextWakeUp(MonotonicTime now) const;
  void Publish();
  void LogSource(const SourceDecision& decision);
  void LogRouting();
  void Post(DirectoryTask task);
  void RegisterGauges();

  DirectorySettings settings_;
  FleetStore& store_;
  EventLog& log_;
  MetricsRegistry& metrics_;
  const FleetSource::Listener listener_;
  std::shared_ptr<BoundedRing<DirectoryTask>> ring_;
  const MonotonicTime started_at_;
  FleetView view_;
  SourcePolicy policy_;
  HeldQuestions questions_;
  StoreReader reader_;
  HostRegistration registration_;
  FleetSnapshot snapshot_;
  // When each peer with a question in flight was asked.
  std::map<std::string, MonotonicTime> asked_at_;
  SourceDecision source_;
  bool shutting_down_ = false;
  // Read by gauges on other threads.
  std::atomic<bool> reads_store_ = false;
  std::atomic<std::uint64_t> store_era_ = 0;
  mutable std::mutex dump_mutex_;
  FleetSnapshot published_;
  SourceDecision published_source_;
  // Null if this host reads the store whatever others do.
  std::unique_ptr<RelayNode> relay_;
  std::thread thread_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_DIRECTORY_DIRECTORY_WORKER_H_
