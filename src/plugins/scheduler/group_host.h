#ifndef FLAMINGOGAUGE_PLUGINS_SCHEDULER_GROUP_HOST_H_
#define FLAMINGOGAUGE_PLUGINS_SCHEDULER_GROUP_HOST_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libs/scheduling/group_scheduler.h"
#include "plugins/scheduler/scheduler_messages.h"
#include "plugins/scheduler/scheduler_settings.h"

namespace flamingogauge {

// Owns the groups that this host schedules on behalf of all hosts of its data
// centre.
class GroupHost {
 public:
  using QuarantineHandler = std::function<void(const Fingerprint&)>;

  GroupHost(const SchedulerSettings& settings,
            Incarnation incarnation,
            MessageSender& sender);

  // Applies the group configurations of this data centre, keyed by target.
  void SetConfigs(MonotonicTime now,
                  std::map<std::string, GroupConfig> configs);

  // `mine` are the targets that this host is to schedule, `members` the live
  // hosts of the data centre and `siblings` the schedulers of the same target
  // in other data centres.
  void SetAssignment(MonotonicTime now,
                     const std::set<std::string>& mine,
                     const std::set<HostId>& members,
                     std::map<std::string, std::vector<HostId>> siblings);

  // The handler receives the fingerprints of requests that crashed two
  // upstreams.
  void SetQuarantineHandler(QuarantineHandler handler) {
    on_quarantine_ = std::move(handler);
  }

  // Records the latest clock value received from `host`; grants echo it.
  void OnClock(const HostId& host, std::chrono::nanoseconds clock);

  void OnMessage(MonotonicTime now,
                 const HostId& from,
                 SchedulerMessage message);
  void OnLoad(MonotonicTime now, const LoadReport& report);
  void OnCache(MonotonicTime now, const CacheEvent& event);
  void Advance(MonotonicTime now);

  std::string Dump(MonotonicTime now) const;

 private:
  struct HostedGroup {
    std::unique_ptr<GroupScheduler> group;
    bool is_mine = false;
    // Takeover state: no grants are made until `paused_until`, or until all
    // members are in `reported`.
    bool is_paused = true;
    MonotonicTime paused_until;
    std::set<HostId> reported;
  };

  // One query to all sibling groups about a set of proposed refusals.
  struct ShedRound {
    std::string target;
    Tier tier = 0;
    MonotonicTime asked_at;
    std::vector<ShedProposal> proposals;
    std::set<HostId> unanswered;
    std::vector<HostId> offers;
    std::size_t siblings = 0;
  };

  HostedGroup* Find(MonotonicTime now, const std::string& target);
  void BeginTakeover(MonotonicTime now, HostedGroup& hosted);
  void CheckTakeover(MonotonicTime now,
                     const std::string& target,
                     HostedGroup& hosted);
  void Deliver(MonotonicTime now,
               const std::string& target,
               HostedGroup& hosted);
  void QuerySiblings(MonotonicTime now,
                     const std::string& target,
                     std::vector<ShedProposal> proposals);
  void FinishRound(MonotonicTime now, std::uint64_t query);
  void OnShedAnswer(MonotonicTime now,
                    const HostId& from,
                    const ShedAnswerMessage& answer);

  const SchedulerSettings& settings_;
  Incarnation incarnation_;
  MessageSender& sender_;
  QuarantineHandler on_quarantine_;
  std::map<std::string, GroupConfig> configs_;
  std::map<std::string, HostedGroup> groups_;
  std::set<HostId> members_;
  std::map<std::string, std::vector<HostId>> siblings_;
  std::unordered_map<HostId, std::chrono::nanoseconds> clocks_;
  std::map<std::uint64_t, ShedRound> rounds_;
  std::uint64_t next_query_ = 1;
  std::uint64_t takeovers_ = 0;
  std::uint64_t redirects_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_SCHEDULER_GROUP_HOST_H_
