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

// Decides which waiting request is considered next. Requests are owned by the
// caller and must be removed before they are destroyed.
class RequestOrder {
 public:
  virtual ~RequestOrder() = default;
  virtual void Push(QueuedRequest* request) = 0;
  virtual void Remove(QueuedRequest* request) = 0;
  // Returns the requests to consider now, the most urgent first.
  virtual std::vector<QueuedRequest*> Heads() = 0;
  // Returns up to `count` requests that could take the turn of a head without
  // a change of the shares of others; the head is the first.
  virtual std::vector<QueuedRequest*> Alternatives(QueuedRequest* head,
                                                   std::size_t count) = 0;
  // Lets one of the alternatives take the turn of its head.
  virtual void TakeTurn(QueuedRequest* request) = 0;
};

// The baseline: one queue in order of arrival.
class FifoOrder : public RequestOrder {
 public:
  void Push(QueuedRequest* request) override;
  void Remove(QueuedRequest* request) override;
  std::vector<QueuedRequest*> Heads() override;
  std::vector<QueuedRequest*> Alternatives(QueuedRequest* head,
                                           std::size_t count) override;
  void TakeTurn(QueuedRequest*) override {}

 private:
  std::map<std::uint64_t, QueuedRequest*> queue_;
};

// A queue that is fair among workspaces by deficit round robin (Shreedhar and
// Varghese 1995), in which a request costs its expected tokens. Only workspaces
// with waiting requests occupy memory.
class FairQueue {
 public:
  void Push(QueuedRequest* request);
  // Removes a request. The head, or one that takes its turn, is charged to its
  // workspace.
  void Remove(QueuedRequest* request);
  // Returns the next request in turn, or null.
  QueuedRequest* Head();
  // Returns the first requests of the head's workspace in order of arrival.
  std::vector<QueuedRequest*> OfSameWorkspace(const QueuedRequest& head,
                                              std::size_t count) const;
  // Lets a request of the same workspace take the turn of the head.
  void SetHead(QueuedRequest* request) { head_ = request; }

 private:
  struct Share {
    std::map<std::uint64_t, QueuedRequest*> requests;
    double deficit = 0;
    std::list<WorkspaceId>::iterator turn;
  };
  using Shares = std::unordered_map<WorkspaceId, Share>;

  // Tokens that a workspace lacks for its next request.
  double Missing(const WorkspaceId& workspace) const;
  void Credit(const WorkspaceId& workspace, double rounds);

  Shares shares_;
  // The active workspaces in the order of their turns.
  std::list<WorkspaceId> turns_;
  QueuedRequest* head_ = nullptr;
};

// Tiers in order; inside a tier one fair queue for short and one for long
// requests, so that a long one at the head does not hold up short ones.
class TieredOrder : public RequestOrder {
 public:
  void Push(QueuedRequest* request) override;
  void Remove(QueuedRequest* request) override;
  std::vector<QueuedRequest*> Heads() override;
  // The next requests of the same workspace, tier and length class.
  std::vector<QueuedRequest*> Alternatives(QueuedRequest* head,
                                           std::size_t count) override;
  void TakeTurn(QueuedRequest* request) override;

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
