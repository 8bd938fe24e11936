#include "policy/engine_model.h"

#include <algorithm>
#include <utility>

namespace flamingogauge::policy {
namespace {

// Prompt tokens computed in one step at most.
constexpr std::uint32_t kChunk = 512;
constexpr std::size_t kMaxBatch = 64;
// The part of the memory that holds cached prefixes beside running requests.
constexpr std::uint64_t kCachePart = 3;

}  // namespace

void EngineModel::Submit(const Arrival& arrival,
                         std::size_t index,
                         double now) {
  waiting_.push_back({.arrival = index,
                      .prefill_left = arrival.request.prompt_tokens,
                      .output = arrival.output_tokens,
                      .granted_at = now,
                      .blocks = arrival.request.prefix_hashes});
}

std::uint64_t EngineModel::TokensInMemory() const {
  std::uint64_t tokens = 0;
  for (const EngineRequest& it : running_) {
    tokens += it.tokens + it.prefill_left;
  }
  return tokens;
}

void EngineModel::Admit() {
  std::uint64_t tokens = TokensInMemory();
  while (!waiting_.empty() && running_.size() < kMaxBatch &&
         (running_.empty() || tokens + waiting_.front().prefill_left <=
                                  generation_.token_capacity)) {
    EngineRequest request = std::move(waiting_.front());
    waiting_.pop_front();
    tokens += request.prefill_left;
    std::uint32_t blocks = 0;
    while (blocks < request.blocks.size() &&
           cache_.contains(request.blocks[blocks])) {
      ++blocks;
    }
    request.cached = std::min(blocks * kBlockTokens, request.prefill_left - 1);
    request.tokens = request.cached;
    request.prefill_left -= request.cached;
    for (std::size_t it = blocks; it < request.blocks.size(); ++it) {
      recomputed +=
          known_blocks->insert(request.blocks[it]).second ? 0 : kBlockTokens;
    }
    running_.push_back(std::move(request));
  }
}

double EngineModel::Step(double now, std::vector<EngineRequest>& completed) {
  Admit();
  std::uint32_t chunk = kChunk;
  std::size_t decoding = 0;
  for (EngineRequest& it : running_) {
    const std::uint32_t part = std::min(chunk, it.prefill_left);
    if (part > 0 && part == it.prefill_left) {
      Hold(it);
    }
    it.prefill_left -= part;
    it.tokens += part;
    it.computed += part;
    chunk -= part;
    decoding += it.prefill_left == 0 ? 1 : 0;
  }
  const double end =
      now +
      slowdown * (generation_.step_base +
                  generation_.step_per_request * static_cast<double>(decoding) +
                  (kChunk - chunk) / generation_.prefill_rate);
  for (EngineRequest& it : running_) {
    if (it.prefill_left == 0) {
      ++it.tokens;
      ++it.produced;
      it.first_token_at = it.produced == 1 ? end : it.first_token_at;
      it.last_token_at = end;
    }
  }
  for (auto it = running_.begin(); it != running_.end();) {
    if (it->produced >= it->output) {
      Release(*it);
      completed.push_back(std::move(*it));
      it = running_.erase(it);
    } else {
      ++it;
    }
  }
  while (running_.size() > 1 && TokensInMemory() > generation_.token_capacity) {
    EngineRequest newest = std::move(running_.back());
    running_.pop_back();
    Release(newest);
    newest.holds_blocks = false;
    recomputed += newest.tokens;
    newest.prefill_left += static_cast<std::uint32_t>(newest.tokens);
    newest.tokens = 0;
    waiting_.push_front(std::move(newest));
  }
  return end;
}

void EngineModel::Hold(EngineRequest& request) {
  request.holds_blocks = true;
  for (const std::uint64_t it : request.blocks) {
    auto [block, created] = cache_.try_emplace(it);
    if (created) {
      changes_.stored.push_back(it);
    } else if (block->second.holders == 0) {
      cache_order_.erase(block->second.order);
    }
    ++block->second.holders;
  }
}

void EngineModel::Release(const EngineRequest& request) {
  if (!request.holds_blocks) {
    return;
  }
  for (const std::uint64_t it : request.blocks) {
    Block& block = cache_.at(it);
    if (--block.holders == 0) {
      block.order = cache_order_.insert(cache_order_.end(), it);
    }
  }
  const std::uint64_t limit =
      generation_.token_capacity / kCachePart / kBlockTokens;
  while (cache_order_.size() > limit) {
    changes_.evicted.push_back(cache_order_.front());
    cache_.erase(cache_order_.front());
    cache_order_.pop_front();
  }
}

std::uint64_t EngineModel::Cancel(std::size_t arrival) {
  for (auto* queue : {&running_, &waiting_}) {
    const auto it = std::find_if(
        queue->begin(), queue->end(),
        [arrival](const EngineRequest& e) { return e.arrival == arrival; });
    if (it != queue->end()) {
      const std::uint64_t computed = it->computed;
      Release(*it);
      queue->erase(it);
      return computed;
    }
  }
  return 0;
}

LoadReport EngineModel::Load() const {
  return {.upstream = id_,
          .running_requests = static_cast<std::uint32_t>(running_.size()),
          .waiting_requests = static_cast<std::uint32_t>(waiting_.size()),
          .tokens_in_memory = TokensInMemory(),
          .token_capacity = generation_.token_capacity};
}

CacheEvent EngineModel::TakeCacheEvent() {
  CacheEvent event = std::exchange(changes_, {});
  event.upstream = id_;
  return event;
}

}  // namespace flamingogauge::policy
