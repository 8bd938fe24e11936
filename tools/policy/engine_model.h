#ifndef FLAMINGOGAUGE_TOOLS_POLICY_ENGINE_MODEL_H_
#define FLAMINGOGAUGE_TOOLS_POLICY_ENGINE_MODEL_H_

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "libs/model/upstream_health.h"
#include "policy/workload.h"

namespace flamingogauge::policy {

// A request inside an engine, in arrival order.
struct EngineRequest {
  std::size_t arrival = 0;
  std::uint32_t prefill_left = 0;
  std::uint32_t cached = 0;
  std::uint64_t tokens = 0;
  std::uint32_t produced = 0;
  std::uint32_t output = 0;
  double granted_at = 0;
  double first_token_at = 0;
  double last_token_at = 0;
  // Prompt tokens computed for it so far.
  std::uint64_t computed = 0;
  std::vector<std::uint64_t> blocks;
  // True once its prompt is computed, so that its blocks are cached.
  bool holds_blocks = false;
};

// Continuous batching: a step computes a chunk of prompts in arrival order and
// one token of each running request. Requests wait for memory in arrival order;
// when the running ones outgrow it, the newest is computed again later.
class EngineModel {
 public:
  EngineModel(UpstreamId id, Generation generation)
      : id_(std::move(id)), generation_(generation) {}

  void Submit(const Arrival& arrival, std::size_t index, double now);
  // Runs one step that begins at `now`; returns its end and moves completed
  // requests to `completed`.
  double Step(double now, std::vector<EngineRequest>& completed);
  // Removes a request; returns the prompt tokens computed for it.
  std::uint64_t Cancel(std::size_t arrival);
  bool IsIdle() const { return running_.empty() && waiting_.empty(); }
  LoadReport Load() const;
  // Takes the cache changes since the last call.
  CacheEvent TakeCacheEvent();

  double slowdown = 1;
  bool stepping = false;
  // Prompt tokens computed although some engine had computed them before.
  std::uint64_t recomputed = 0;
  // Blocks that any engine has computed; shared by all engines of a run.
  std::unordered_set<std::uint64_t>* known_blocks = nullptr;

 private:
  void Admit();
  void Hold(EngineRequest& request);
  void Release(const EngineRequest& request);
  std::uint64_t TokensInMemory() const;

  UpstreamId id_;
  Generation generation_;
  std::deque<EngineRequest> waiting_;
  std::deque<EngineRequest> running_;
  // Blocks of running requests are cached without limit; the others up to a
  // part of the memory, least recently used first.
  struct Block {
    std::uint32_t holders = 0;
    std::list<std::uint64_t>::iterator order;
  };
  std::list<std::uint64_t> cache_order_;
  std::unordered_map<std::uint64_t, Block> cache_;
  CacheEvent changes_;
};

}  // namespace flamingogauge::policy

#endif  // FLAMINGOGAUGE_TOOLS_POLICY_ENGINE_MODEL_H_
