#include "libs/scheduling/request_order.h"

#include <algorithm>
#include <limits>

namespace flamingogauge {
namespace {

// Tokens that a workspace of weight 1 receives per turn. About the cost of one
// long request, so that a turn usually serves at least one request.
constexpr double kQuantumTokens = 4000;

}  // namespace

void FifoOrder::Push(QueuedRequest* request) {
  queue_[request->arrival] = request;
}

void FifoOrder::Remove(QueuedRequest* request) {
  queue_.erase(request->arrival);
}

std::vector<QueuedRequest*> FifoOrder::Heads() {
  if (queue_.empty()) {
    return {};
  }
  return {queue_.begin()->second};
}

std::vector<QueuedRequest*> FifoOrder::Alternatives(QueuedRequest* head,
                                                    std::size_t) {
  return {head};
}

void FairQueue::Push(QueuedRequest* request) {
  const WorkspaceId& workspace = request->request.workspace;
  Share& share = shares_[workspace];
  if (share.requests.empty()) {
    share.turn = turns_.insert(turns_.end(), workspace);
  }
  share.requests[request->arrival] = request;
}

void FairQueue::Remove(QueuedRequest* request) {
  const auto it = shares_.find(request->request.workspace);
  if (it == shares_.end() || it->second.requests.erase(request->arrival) == 0) {
    return;
  }
  if (request == head_) {
    it->second.deficit -= static_cast<double>(request->Tokens());
    head_ = nullptr;
  }
  if (it->second.requests.empty()) {
    turns_.erase(it->second.turn);
    shares_.erase(it);
  }
}

QueuedRequest* FairQueue::Head() {
  if (head_ != nullptr || turns_.empty()) {
    return head_;
  }
  // A workspace receives its quantum at the start of its turn and keeps the
  // turn while its deficit counter covers its next request.
  for (std::size_t visited = 0; visited < turns_.size(); ++visited) {
    if (Shortfall(turns_.front()) <= 0) {
      head_ = shares_.at(turns_.front()).requests.begin()->second;
      return head_;
    }
    turns_.splice(turns_.end(), turns_, turns_.begin());
    Credit(turns_.front(), 1);
  }
  // No workspace can afford its next request. To bound the number of
  // iterations, all of them receive at once as many quanta as the one that
  // needs the fewest.
  double rounds = std::numeric_limits<double>::max();
  for (const WorkspaceId& it : turns_) {
    const double weight = shares_.at(it).requests.begin()->second->weight;
    rounds = std::min(rounds,
                      std::max(0.0, Shortfall(it)) / (kQuantumTokens * weight));
  }
  for (const WorkspaceId& it : turns_) {
    Credit(it, rounds);
  }
  return Head();
}

double FairQueue::Shortfall(const WorkspaceId& workspace) const {
  const Share& share = shares_.at(workspace);
  // Tolerance for rounding errors, which could otherwise keep a workspace from
  // its next request indefinitely.
  constexpr double kSlack = 1e-6;
  return static_cast<double>(share.requests.begin()->second->Tokens()) -
         share.deficit - kSlack;
}

void FairQueue::Credit(const WorkspaceId& workspace, double rounds) {
  Share& share = shares_.at(workspace);
  share.deficit +=
      rounds * kQuantumTokens * share.requests.begin()->second->weight;
}

std::vector<QueuedRequest*> FairQueue::RequestsOfWorkspace(
    const QueuedRequest& head,
    std::size_t count) const {
  std::vector<QueuedRequest*> requests;
  const auto share = shares_.find(head.request.workspace);
  if (share == shares_.end()) {
    return requests;
  }
  for (const auto& [arrival, it] : share->second.requests) {
    if (requests.size() == count) {
      break;
    }
    requests.push_back(it);
  }
  return requests;
}

std::vector<QueuedRequest*> TieredOrder::Alternatives(QueuedRequest* head,
                                                      std::size_t count) {
  return QueueOf(*head).RequestsOfWorkspace(*head, count);
}

void TieredOrder::PromoteToHead(QueuedRequest* request) {
  QueueOf(*request).SetHead(request);
}

FairQueue& TieredOrder::QueueOf(const QueuedRequest& request) {
  TierQueues& tier =
      tiers_[std::min<std::size_t>(request.request.tier, kMaxTiers - 1)];
  return request.is_long ? tier.long_requests : tier.short_requests;
}

void TieredOrder::Push(QueuedRequest* request) {
  QueueOf(*request).Push(request);
}

void TieredOrder::Remove(QueuedRequest* request) {
  QueueOf(*request).Remove(request);
}

std::vector<QueuedRequest*> TieredOrder::Heads() {
  std::vector<QueuedRequest*> heads;
  heads.reserve(2 * kMaxTiers);
  for (TierQueues& it : tiers_) {
    for (FairQueue* queue : {&it.short_requests, &it.long_requests}) {
      if (QueuedRequest* head = queue->Head()) {
        heads.push_back(head);
      }
    }
  }
  return heads;
}

}  // namespace flamingogauge
