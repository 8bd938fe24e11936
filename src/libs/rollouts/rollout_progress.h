#ifndef FLAMINGOGAUGE_LIBS_ROLLOUTS_ROLLOUT_PROGRESS_H_
#define FLAMINGOGAUGE_LIBS_ROLLOUTS_ROLLOUT_PROGRESS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libs/fleet/host_entry.h"
#include "libs/kernel/time.h"
#include "libs/rollouts/rollout_messages.h"

namespace flamingogauge {

// An older report says nothing of what its sender does now.
inline constexpr std::chrono::milliseconds kRolloutReportLifetime{1500};

// Follows which hosts still send requests to the old versions of an order, or
// have some there. A host counts until it has reported that it has moved. A few
// silent ones count as gone after a while; if most are silent, it is rather
// this host that is cut off.
class RolloutProgress {
 public:
  explicit RolloutProgress(std::string data_centre)
      : data_centre_(std::move(data_centre)) {}

  void SetHosts(const std::vector<HostEntry>& hosts, MonotonicTime now);
  void OnHost(const std::string& host,
              const std::vector<RolloutState>& rollouts,
              MonotonicTime now);
  void OnDataCentre(const std::string& data_centre,
                    const std::vector<RolloutState>& rollouts,
                    MonotonicTime now);
  // Drops what was reported before: this host now decides by the reports, and
  // may have missed some.
  void BeginObserving(MonotonicTime now);

  struct Remaining {
    // Requests at the old versions, as last reported.
    std::uint32_t running = 0;
    // Hosts, or data centres, that may still send some there.
    std::uint32_t behind = 0;
    // Hosts that count as gone, of all listed ones.
    std::uint32_t silent = 0;
    std::uint32_t members = 0;

    bool IsNone() const {
      return running == 0 && behind == 0 && 2 * silent <= members;
    }
  };
  // In this data centre.
  Remaining Nearby(std::uint64_t order, MonotonicTime now) const;
  // In all data centres.
  Remaining Everywhere(std::uint64_t order, MonotonicTime now) const;

 private:
  struct Member {
    MonotonicTime heard_at;
    // Listed hosts that it stands for.
    std::uint32_t hosts = 1;
    // Of the newest report, by order.
    std::map<std::uint64_t, RolloutState> rollouts;
  };

  static void Apply(const std::vector<RolloutState>& rollouts,
                    Member& member,
                    MonotonicTime now);
  static void Count(const Member& member,
                    std::uint64_t order,
                    MonotonicTime now,
                    Remaining& remaining);

  const std::string data_centre_;
  // The listed hosts of this data centre, and the other data centres.
  std::map<std::string, Member> hosts_;
  std::map<std::string, Member> others_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_ROLLOUTS_ROLLOUT_PROGRESS_H_
