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

// A request that an engine has queued or is running.
struct EngineRequest {
  // Index in the list of arrivals.
  std::size_t arrival_index = 0;
  std::uint32_t prefill_remaining = 0;
  std::uint32_t cached_prompt_tokens = 0;
  std::uint64_t resident_tokens = 0;
  std::uint32_t generated_tokens = 0;
  std::uint32_t target_output_tokens = 0;
  double granted_at = 0;
  double first_token_at = 0;
  double last_token_at = 0;
  // Tokens processed in prefill so far, including those repeated after a
  // preemption.
  std::uint64_t computed_prompt_tokens = 0;
  std::vector<std::uint64_t> blocks;
  // True once prefill has finished; the prompt blocks are then in the prefix
  // cache and cannot be evicted.
  bool blocks_pinned = false;
};

// Models an engine with continuous batching and chunked prefill. Each step
// prefills one chunk in arrival order and decodes one token of each request
// whose prefill is complete. Requests are admitted in arrival order as memory
// permits. If the running requests exceed the memory, the most recently
// admitted one is preempted and its tokens are recomputed later.
class EngineModel {
 public:
  EngineModel(UpstreamId id, Generation generation)
      : id_(std::move(id)), generation_(generation) {}

  void Submit(const Arrival& arrival, std::size_t index, double now);
  // Runs one step that begins at `now` and returns its end time. Appends the
  // requests that finished to `completed`.
  double Step(double now, std::vector<EngineRequest>& completed);
  // Removes a request and returns the number of tokens prefilled for it, or 0
  // if it is not in the engine.
  std::uint64_t Cancel(std::size_t arrival);
  bool IsIdle() const { return running_.empty() && waiting_.empty(); }
  LoadReport Load() const;
  // Returns the prefix cache changes since the previous call.
  CacheEvent TakeCacheEvent();

  // Factor on the duration of each step.
  double slowdown = 1;
  // Whether the simulation has a step event queued for this engine.
  bool step_scheduled = false;
  // Tokens prefilled again after a preemption, or because the block was cached
  // on another engine or already evicted.
  std::uint64_t recomputed_tokens = 0;
  // Hashes of the blocks that any engine has been asked to prefill; shared by
  // all engines of a run.
  std::unordered_set<std::uint64_t>* known_blocks = nullptr;

 private:
  void Admit();
  void PinBlocks(EngineRequest& request);
  void UnpinBlocks(const EngineRequest& request);
  std::uint64_t TokensInMemory() const;

  UpstreamId id_;
  Generation generation_;
  std::deque<EngineRequest> waiting_;
  std::deque<EngineRequest> running_;
  // A cached prefix block. Blocks pinned by running requests are not limited in
  // number; unpinned blocks are limited to a fraction of the memory and evicted
  // in least recently used order.
  struct Block {
    std::uint32_t pin_count = 0;
    std::list<std::uint64_t>::iterator cache_position;
  };
  std::list<std::uint64_t> unpinned_lru_;
  std::unordered_map<std::uint64_t, Block> cache_;
  CacheEvent pending_cache_event_;
};

}  // namespace flamingogauge::policy

#endif  // FLAMINGOGAUGE_TOOLS_POLICY_ENGINE_MODEL_H_
