#ifndef FLAMINGOGAUGE_LIBS_ROLLOUTS_ROLLOUT_CONTROLLER_H_
#define FLAMINGOGAUGE_LIBS_ROLLOUTS_ROLLOUT_CONTROLLER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/dispatching/upstream_view.h"
#include "libs/fleet/host_entry.h"
#include "libs/fleet/rollout_limits.h"
#include "libs/fleet/rollout_order.h"
#include "libs/fleet/upstream_entry.h"
#include "libs/rollouts/evidence_pool.h"
#include "libs/rollouts/rollout_events.h"
#include "libs/rollouts/rollout_gate.h"
#include "libs/rollouts/rollout_messages.h"
#include "libs/rollouts/rollout_progress.h"
#include "libs/rollouts/rollout_status_writer.h"
#include "libs/rollouts/rollout_table.h"

namespace flamingogauge {

struct RolloutControllerOptions {
  std::string host;
  std::string data_centre;
  std::map<std::string, std::string> regions;
  RolloutLimits limits;
};

// A request of this host that has ended at an upstream.
struct EndedRequest {
  UpstreamEntry upstream;
  DispatchResult result = DispatchResult::kServed;
  AnsweredRequest answer;
};

struct RolloutActions {
  std::vector<RolloutStatusWrite> writes;
  std::vector<RolloutEvent> events;
  // True if requests that wait may now go elsewhere.
  bool gate_changed = false;
};

// Takes the service's requests from the old versions to the target of an order,
// or back. Every host runs one: it enforces the order on its own requests, and
// contributes to the decisions as far as it reads the store or coordinates its
// data centre. Performs no I/O.
class RolloutController {
 public:
  // Requests of this host in progress, by service and version.
  using Running = std::map<std::string, std::map<std::string, std::uint32_t>>;

  explicit RolloutController(RolloutControllerOptions options);

  RolloutGate& gate() { return gate_; }

  void SetRegions(std::map<std::string, std::string> regions) {
    gate_.SetRegions(std::move(regions));
  }
  void SetUpstreams(const std::vector<UpstreamEntry>& upstreams,
                    std::chrono::milliseconds unix_time,
                    MonotonicTime now);
  void SetHosts(const std::vector<HostEntry>& hosts, MonotonicTime now);
  // Applies all orders, as this host has read them from the store. An order for
  // a service without upstreams waits for these. `unix_time` is since the Unix
  // epoch.
  void OnOrders(const std::vector<RolloutOrder>& orders,
                std::chrono::milliseconds unix_time,
                MonotonicTime now);

  // Apply what other hosts report: a host of this data centre, the coordinator
  // of another one, and the coordinator of this one.
  void OnHostReport(const std::string& host,
                    std::uint64_t process,
                    const RolloutReport& report,
                    MonotonicTime now);
  void OnDataCentreReport(const std::string& data_centre,
                          const RolloutReport& report,
                          MonotonicTime now);
  void OnSummary(const RolloutReport& report, MonotonicTime now);

  // This process has just started: it waits for a short time to hear of orders
  // from the store or a coordinator, before it chooses between two versions.
  void OnStarted(MonotonicTime now);
  // A coordinator has been heard; it tells what orders there are, if any,
  // within a report interval.
  void OnHeard(MonotonicTime now);

  void OnRequestEnded(const EndedRequest& request, MonotonicTime now);

  // Return what to report of this host to a coordinator, of the hosts of this
  // data centre, and to these. Empty between two reports to the same receivers,
  // unless something has changed.
  RolloutReport HostReport(const std::string& receiver,
                           const Running& running,
                           MonotonicTime now);
  RolloutReport DataCentreReport(const std::string& receiver,
                                 MonotonicTime now);
  RolloutReport Summary(MonotonicTime now);

  struct Role {
    // This host reads the store and may write to it.
    bool reads_store = false;
    // The hosts of this data centre turn to this one.
    bool is_coordinator = false;
    // The data centre's position among all, so that their readers do not all
    // write at once.
    std::size_t rank = 0;
  };
  // Takes the decisions that are due; to be called a few times a second while
  // IsActive().
  RolloutActions Tick(const Role& role,
                      std::chrono::milliseconds unix_time,
                      MonotonicTime now);
  // The result of a write: done, or that nothing is known of it.
  void OnWritten(const RolloutStatusWrite& write, bool done, MonotonicTime now);

  // True while there is an order in progress or one that ended lately.
  bool IsActive(MonotonicTime now) const;
  const RolloutTable::Records& records() const { return table_.records(); }
  std::uint64_t TargetAnswersOf(std::uint64_t order) const;

 private:
  // When a kind of report was made last, and with which changes.
  struct Reported {
    MonotonicTime at;
    std::uint64_t changes = 0;
  };

  bool IsReportDue(Reported& reported, MonotonicTime now) const;
  void MergeAll(const RolloutReport& report, MonotonicTime now);
  void MergeOrders(std::chrono::milliseconds unix_time, MonotonicTime now);
  RolloutState StateOf(const RolloutOrder& order,
                       std::chrono::milliseconds unix_time) const;
  void Judge(const RolloutRecord& record, MonotonicTime now);
  // Begins to observe the others anew if this host has not coordinated all the
  // time.
  void UpdateObservation(const Role& role, MonotonicTime now);
  void TakeStep(const RolloutRecord& record, MonotonicTime now);
  // The time limit has passed, and the target could be tried for a while.
  bool IsOverdue(const RolloutRecord& record, MonotonicTime now) const;
  bool TrialIsOver(const RolloutRecord& record, MonotonicTime now) const;
  // True if the target has served enough of all requests, or as long as the
  // order's time allows.
  bool ShiftIsProven(const RolloutRecord& record, MonotonicTime now) const;
  // Brings the gate in line with the records and collects their changes.
  void Enforce(MonotonicTime now);
  // The same, unless nothing changed and it was done lately.
  void EnforceIf(bool changed, MonotonicTime now);
  void EnforceOn(const RolloutRecord& record);
  void ReportChange(const RolloutRecord& record, MonotonicTime now);

  const RolloutControllerOptions options_;
  RolloutGate gate_;
  RolloutTable table_;
  EvidencePool evidence_;
  RolloutProgress progress_;
  RolloutStatusWriter writer_;
  // As of the last call of Enforce, by service.
  RolloutTable::Records enforced_;
  std::vector<RolloutEvent> events_;
  bool gate_changed_ = false;
  MonotonicTime enforced_at_;
  MonotonicTime wait_for_rules_until_;
  // Of the last tick as a coordinator, if the last one was one.
  std::optional<MonotonicTime> coordinated_at_;
  MonotonicTime observing_since_;
  // Increases with each change of a record.
  std::uint64_t changes_ = 0;
  std::map<std::string, Reported> host_reports_;
  std::map<std::string, Reported> data_centre_reports_;
  Reported summary_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_ROLLOUTS_ROLLOUT_CONTROLLER_H_
