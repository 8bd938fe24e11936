#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_WAITING_QUEUE_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_WAITING_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libs/dispatching/waiting_request.h"
#include "libs/dispatching/workspace_weights.h"
#include "libs/kernel/time.h"

namespace flamingogauge {

// A request in the queue of its service.
struct AdmissionCandidate {
  WaitingRequest request;
  // The latest placement with which the response can still be on time.
  MonotonicTime on_time_until;
  // True if the response can no longer be on time.
  bool is_late = false;
  // False until it has been admitted or refused for the first time.
  bool is_admitted = false;
};

// The requests of one service that wait for an upstream, in the order in which
// they are placed: those that can still be on time before the others, then by
// priority, then those whose callers return as they were told. Requests that
// are equal in this take turns by workspace, each workspace in proportion to
// its weight, and within a workspace by due time.
//
// Load patterns: an overload in which requests that are late already delay all
// others; a workspace that sends many times its usual load.
class WaitingQueue {
 public:
  // The number of requests that are placed before a request.
  struct Ahead {
    // Of more urgent priorities, late or not.
    std::size_t more_urgent = 0;
    // Of the same priority.
    std::size_t equal = 0;
    // Of less urgent priorities, if the request is late and they are not.
    std::size_t less_urgent = 0;

    std::size_t total() const { return more_urgent + equal + less_urgent; }
  };
  // Returns false to end the pass over the queue.
  using Visitor = std::function<bool(const AdmissionCandidate&)>;

  explicit WaitingQueue(std::shared_ptr<const WorkspaceWeights> weights)
      : weights_(std::move(weights)) {}

  // Adds a request that can be on time if it is placed until `on_time_until`.
  void Add(WaitingRequest request, MonotonicTime on_time_until);
  // Returns false if the request does not wait here.
  bool Remove(std::uint64_t id);
  // Removes a request and counts its place as used by its workspace.
  void RemovePlaced(std::uint64_t id);
  // Moves the requests that can no longer be on time behind the others.
  void Advance(MonotonicTime now);

  // Visits the requests in order. The queue must not be changed meanwhile.
  void ForEachInOrder(const Visitor& visitor) const;
  // Visits late requests in order.
  void ForEachLate(const Visitor& visitor) const;

  const AdmissionCandidate* Find(std::uint64_t id) const;
  Ahead CountAhead(const AdmissionCandidate& queued) const;
  void SetAdmitted(std::uint64_t id);
  // Requests that have been neither admitted nor refused, in order of arrival.
  std::vector<std::uint64_t> NewRequests() const;

  std::size_t size() const { return requests_.size(); }
  std::size_t late_count() const { return late_count_; }

 private:
  // Requests of equal rank.
  struct Rank {
    bool is_late = false;
    int priority = 0;
    bool is_newcomer = true;

    bool operator==(const Rank&) const = default;
    bool operator<(const Rank& other) const {
      return std::tie(is_late, priority, is_newcomer) <
             std::tie(other.is_late, other.priority, other.is_newcomer);
    }
  };
  struct Turn {
    MonotonicTime due_at;
    std::uint64_t id = 0;

    bool operator<(const Turn& other) const {
      return std::tie(due_at, id) < std::tie(other.due_at, other.id);
    }
  };
  struct Flow {
    // Places that the workspace has used, divided by its weight.
    double used = 0;
    std::set<Turn> waiting;
  };
  struct Group {
    // The least `used` of a workspace that may still be placed. A workspace
    // that begins to wait has no claim on what it left unused before.
    double floor = 0;
    std::size_t size = 0;
    std::map<std::uint64_t, Flow> flows;
    // The number of flows beyond which idle ones are removed.
    std::size_t sweep_above = 256;
  };

  static Rank RankOf(const AdmissionCandidate& queued);
  double WeightOf(std::uint64_t workspace) const;
  void Insert(const AdmissionCandidate& queued);
  void Erase(const AdmissionCandidate& queued);
  bool VisitGroup(const Group& group, const Visitor& visitor) const;
  std::size_t CountAheadInGroup(const Group& group,
                                const AdmissionCandidate& queued) const;

  std::unordered_map<std::uint64_t, AdmissionCandidate> requests_;
  std::map<Rank, Group> groups_;
  // Requests that can still be on time, by the end of that.
  std::set<std::pair<MonotonicTime, std::uint64_t>> expiries_;
  std::set<std::uint64_t> new_;
  std::size_t late_count_ = 0;
  std::shared_ptr<const WorkspaceWeights> weights_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_WAITING_QUEUE_H_
