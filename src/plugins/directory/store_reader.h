#ifndef FLAMINGOGAUGE_PLUGINS_DIRECTORY_STORE_READER_H_
#define FLAMINGOGAUGE_PLUGINS_DIRECTORY_STORE_READER_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "libs/directory/fleet_view.h"
#include "libs/directory/held_questions.h"
#include "libs/directory/table_follower.h"
#include "libs/kernel/bounded_ring.h"
#include "libs/kernel/event_log.h"
#include "libs/metrics/metrics_registry.h"
#include "libs/services/fleet_store.h"
#include "plugins/directory/directory_settings.h"

namespace flamingogauge {

// A unit of work for the directory's thread.
using DirectoryTask = std::function<void()>;

// Reads the tables of the store into a FleetView. Used on the directory's
// thread; the results of calls reach it through `ring`.
class StoreReader {
 public:
  // `on_changes` is called for each result that changed the view.
  StoreReader(const DirectorySettings& settings,
              FleetStore& store,
              EventLog& log,
              MetricsRegistry& metrics,
              FleetView& view,
              std::shared_ptr<BoundedRing<DirectoryTask>> ring,
              std::function<void(const FleetChanges&)> on_changes);
  StoreReader(const StoreReader&) = delete;
  StoreReader& operator=(const StoreReader&) = delete;

  void SetWaits(const DirectorySettings& settings);

  // Starts or stops reading all tables. Starting continues from the view, but
  // reads the routing document at once to confirm it.
  void SetActive(bool active);
  // Sets the interval between attempts while the store fails.
  void SetRetryInterval(std::chrono::milliseconds interval);
  // Makes the calls that are due. The list of hosts is also read while
  // inactive if `wants_hosts`.
  void StartCalls(bool wants_hosts, MonotonicTime now);
  // Reads the list of hosts soon, at its newest, if this host reads the store.
  void RefreshHosts(MonotonicTime now);
  // Applies removals that were deferred after an outage.
  void RemoveMissing(MonotonicTime now);
  MonotonicTime WakeAt(bool wants_hosts) const;

  StoreReading Reading(MonotonicTime now) const;
  const TableFollower<RolloutOrder>::Entries& rollouts() const {
    return rollouts_.entries();
  }
  // True once a list of hosts has been read.
  bool has_listed_hosts() const { return has_listed_hosts_; }

 private:
  template <typename T>
  void StartCall(TableFollower<T>& follower,
                 FleetTable<T>& table,
                 std::chrono::milliseconds wait,
                 bool may_be_stale,
                 MonotonicTime now);
  template <typename T>
  void OnAnswer(TableFollower<T>& follower, const Result<FleetPage<T>>& answer);
  void CatchUpWithView();
  FleetChanges ApplyAnswer(const TableFollower<RoutingTable>& follower,
                           bool changed);
  FleetChanges ApplyAnswer(const TableFollower<UpstreamEntry>& follower,
                           bool changed);
  FleetChanges ApplyAnswer(const TableFollower<HostEntry>& follower,
                           bool changed);
  FleetChanges ApplyAnswer(const TableFollower<RolloutOrder>& follower,
                           bool changed);
  // Counts a call by table and result.
  void CountCall(std::string_view table, const Error* error);
  // Counts the entries that an answer left out, and logs them at a bounded
  // rate.
  template <typename T>
  void ReportLeftOut(const FleetPage<T>& page, MonotonicTime now);
  // Has all tables listed again once the store has come back from an older
  // copy.
  void CheckEra(std::string_view table,
                const StoreRevision& revision,
                MonotonicTime now);
  void LogEra(std::string_view table, const StoreRevision& revision);
  void LogAvailability(const Error* error);
  void LogRegression(const RoutingTable& routing);
  // The earliest failure since which calls have not succeeded.
  std::optional<MonotonicTime> FailingSince() const;

  DirectorySettings settings_;
  FleetStore& store_;
  EventLog& log_;
  MetricsRegistry& metrics_;
  FleetView& view_;
  // Shared with store calls that may complete after this object's destruction.
  std::shared_ptr<BoundedRing<DirectoryTask>> ring_;
  const std::function<void(const FleetChanges&)> on_changes_;
  TableFollower<RoutingTable> routing_;
  TableFollower<UpstreamEntry> upstreams_;
  TableFollower<HostEntry> hosts_;
  TableFollower<RolloutOrder> rollouts_;
  const MonotonicTime started_at_;
  MonotonicTime next_hosts_list_at_;
  bool wants_newest_hosts_ = false;
  MonotonicTime hosts_refreshed_at_;
  bool has_listed_hosts_ = false;
  bool active_ = false;
  // True once the document was confirmed since reading started.
  bool has_confirmed_ = false;
  bool failure_logged_ = false;
  // The newest revision that any response stated.
  StoreRevision newest_;
  // By table: when left-out entries were last logged.
  std::map<std::string_view, MonotonicTime> left_out_logged_at_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_DIRECTORY_STORE_READER_H_
