#include "policy/engine_model.h"

#include <algorithm>
#include <utility>

namespace flamingogauge::policy {
namespace {

// Maximum number of tokens prefilled per step.
constexpr std::uint32_t kPrefillChunkTokens = 512;
constexpr std::size_t kMaxBatch = 64;
// Unpinned prefix blocks may occupy one part in kCacheMemoryDivisor of the
// memory.
constexpr std::uint64_t kCacheMemoryDivisor = 3;

}  // namespace

void EngineModel::Submit(const Arrival& arrival,
                         std::size_t index,
                         double now) {
  waiting_.push_back({.arrival_index = index,
                      .prefill_remaining = arrival.request.prompt_tokens,
                      .target_output_tokens = arrival.output_tokens,
                      .granted_at = now,
                      .blocks = arrival.request.prefix_hashes});
}

std::uint64_t EngineModel::TokensInMemory() const {
  std::uint64_t tokens = 0;
  for (const EngineRequest& it : running_) {
    tokens += it.resident_tokens + it.prefill_remaining;
  }
  return tokens;
}

void EngineModel::Admit() {
  std::uint64_t tokens = TokensInMemory();
  while (!waiting_.empty() && running_.size() < kMaxBatch &&
         (running_.empty() || tokens + waiting_.front().prefill_remaining <=
                                  generation_.token_capacity)) {
    EngineRequest request = std::move(waiting_.front());
    waiting_.pop_front();
    tokens += request.prefill_remaining;
    std::uint32_t blocks = 0;
    while (blocks < request.blocks.size() &&
           cache_.contains(request.blocks[blocks])) {
      ++blocks;
    }
    request.cached_prompt_tokens =
        std::min(blocks * kBlockTokens, request.prefill_remaining - 1);
    request.resident_tokens = request.cached_prompt_tokens;
    request.prefill_remaining -= request.cached_prompt_tokens;
    for (std::size_t it = blocks; it < request.blocks.size(); ++it) {
      recomputed_tokens +=
          known_blocks->insert(request.blocks[it]).second ? 0 : kBlockTokens;
    }
    running_.push_back(std::move(request));
  }
}

double EngineModel::Step(double now, std::vector<EngineRequest>& completed) {
  Admit();
  std::uint32_t chunk = kPrefillChunkTokens;
  std::size_t decoding = 0;
  for (EngineRequest& it : running_) {
    const std::uint32_t part = std::min(chunk, it.prefill_remaining);
    if (part > 0 && part == it.prefill_remaining) {
      PinBlocks(it);
    }
    it.prefill_remaining -= part;
    it.resident_tokens += part;
    it.computed_prompt_tokens += part;
    chunk -= part;
    decoding += it.prefill_remaining == 0 ? 1 : 0;
  }
  const double end =
      now +
      slowdown * (generation_.step_base +
                  generation_.step_per_request * static_cast<double>(decoding) +
                  (kPrefillChunkTokens - chunk) / generation_.prefill_rate);
  for (EngineRequest& it : running_) {
    if (it.prefill_remaining == 0) {
      ++it.resident_tokens;
      ++it.generated_tokens;
      it.first_token_at = it.generated_tokens == 1 ? end : it.first_token_at;
      it.last_token_at = end;
    }
  }
  for (auto it = running_.begin(); it != running_.end();) {
    if (it->generated_tokens >= it->target_output_tokens) {
      UnpinBlocks(*it);
      completed.push_back(std::move(*it));
      it = running_.erase(it);
    } else {
      ++it;
    }
  }
  while (running_.size() > 1 && TokensInMemory() > generation_.token_capacity) {
    EngineRequest newest = std::move(running_.back());
    running_.pop_back();
    UnpinBlocks(newest);
    newest.blocks_pinned = false;
    recomputed_tokens += newest.resident_tokens;
    newest.prefill_remaining +=
        static_cast<std::uint32_t>(newest.resident_tokens);
    newest.resident_tokens = 0;
    waiting_.push_front(std::move(newest));
  }
  return end;
}

void EngineModel::PinBlocks(EngineRequest& request) {
  request.blocks_pinned = true;
  for (const std::uint64_t it : request.blocks) {
    auto [block, created] = cache_.try_emplace(it);
    if (created) {
      pending_cache_event_.stored.push_back(it);
    } else if (block->second.pin_count == 0) {
      unpinned_lru_.erase(block->second.cache_position);
    }
    ++block->second.pin_count;
  }
}

void EngineModel::UnpinBlocks(const EngineRequest& request) {
  if (!request.blocks_pinned) {
    return;
  }
  for (const std::uint64_t it : request.blocks) {
    Block& block = cache_.at(it);
    if (--block.pin_count == 0) {
      block.cache_position = unpinned_lru_.insert(unpinned_lru_.end(), it);
    }
  }
  const std::uint64_t limit =
      generation_.token_capacity / kCacheMemoryDivisor / kBlockTokens;
  while (unpinned_lru_.size() > limit) {
    pending_cache_event_.evicted.push_back(unpinned_lru_.front());
    cache_.erase(unpinned_lru_.front());
    unpinned_lru_.pop_front();
  }
}

std::uint64_t EngineModel::Cancel(std::size_t arrival) {
  for (auto* queue : {&running_, &waiting_}) {
    const auto it = std::find_if(queue->begin(), queue->end(),
                                 [arrival](const EngineRequest& e) {
                                   return e.arrival_index == arrival;
                                 });
    if (it != queue->end()) {
      const std::uint64_t computed_prompt_tokens = it->computed_prompt_tokens;
      UnpinBlocks(*it);
      queue->erase(it);
      return computed_prompt_tokens;
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
  CacheEvent event = std::exchange(pending_cache_event_, {});
  event.upstream = id_;
  return event;
}

}  // namespace flamingogauge::policy
