#ifndef FLAMINGOGAUGE_LIBS_SCHEDULING_REQUEST_ORDER_H_
#define FLAMINGOGAUGE_LIBS_SCHEDULING_REQUEST_ORDER_H_

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "libs/scheduling/queued_request.h"

namespace flamingogauge {

// Defines the order in which waiting requests are considered. Requests are
// owned by the caller and must be removed before they are destroyed.
class RequestOrder {
 public:
  virtual ~RequestOrder() = default;
  virtual void Push(QueuedRequest* request) = 0;
  virtual void Remove(QueuedRequest* request) = 0;
  // Returns the head of each queue, the most urgent first.
  virtual std::vector<QueuedRequest*> Heads() = 0;
  // Returns up to `count` requests that can replace `head` without changing the
  // shares of other workspaces, including `head` itself.
  virtual std::vector<QueuedRequest*> Alternatives(QueuedRequest* head,
                                                   std::size_t count) = 0;
  // Makes one of the alternatives the head of its queue.
  virtual void PromoteToHead(QueuedRequest* request) = 0;
};

// Baseline: one queue in order of arrival.
class FifoOrder : public RequestOrder {
 public:
  void Push(QueuedRequest* request) override;
  void Remove(QueuedRequest* request) override;
  std::vector<QueuedRequest*> Heads() override;
  std::vector<QueuedRequest*> Alternatives(QueuedRequest* head,
                                           std::size_t count) override;
  void PromoteToHead(QueuedRequest*) override {}

 private:
  std::map<std::uint64_t, QueuedRequest*> queue_;
};

// Shares capacity fairly among workspaces by deficit round robin (Shreedhar and
// Varghese 1995). The cost of a request is its expected number of tokens. Only
// workspaces with waiting requests occupy memory.
class FairQueue {
 public:
  void Push(QueuedRequest* request);
  // Removes a request. If it is the head, its cost is charged to its workspace.
  void Remove(QueuedRequest* request);
  // Returns the next request, or null if the queue is empty.
  QueuedRequest* Head();
  // Returns up to `count` requests of the workspace of `head` in order of
  // arrival.
  std::vector<QueuedRequest*> RequestsOfWorkspace(const QueuedRequest& head,
                                                  std::size_t count) const;
  // Replaces the head by a request of the same workspace.
  void SetHead(QueuedRequest* request) { head_ = request; }

 private:
  struct Share {
    std::map<std::uint64_t, QueuedRequest*> requests;
    double deficit = 0;
    std::list<WorkspaceId>::iterator turn;
  };
  using Shares = std::unordered_map<WorkspaceId, Share>;

  // Returns the tokens by which the cost of the next request of a workspace
  // exceeds its deficit counter.
  double Shortfall(const WorkspaceId& workspace) const;
  // Adds `rounds` quanta, multiplied by the weight, to the deficit counter.
  void Credit(const WorkspaceId& workspace, double rounds);

  Shares shares_;
  // The workspaces with waiting requests in round-robin order.
  std::list<WorkspaceId> turns_;
  QueuedRequest* head_ = nullptr;
};

// Orders requests by tier. Each tier has separate fair queues for short and
// long requests, so that a long request at the head does not block short ones.
class TieredOrder : public RequestOrder {
 public:
  void Push(QueuedRequest* request) override;
  void Remove(QueuedRequest* request) override;
  std::vector<QueuedRequest*> Heads() override;
  // Returns the next requests of the same workspace, tier and length class.
  std::vector<QueuedRequest*> Alternatives(QueuedRequest* head,
                                           std::size_t count) override;
  void PromoteToHead(QueuedRequest* request) override;

 private:
  FairQueue& QueueOf(const QueuedRequest& request);

  struct TierQueues {
    FairQueue short_requests;
    FairQueue long_requests;
  };
  std::array<TierQueues, kMaxTiers> tiers_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SCHEDULING_REQUEST_ORDER_H_
