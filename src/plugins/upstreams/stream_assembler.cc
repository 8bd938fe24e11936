#include "plugins/upstreams/stream_assembler.h"

#include <utility>

namespace flamingogauge {

void StreamAssembler::BeginConnection() {
  implied_offset_ = next_offset_;
  has_end_ = false;
  waiting_.clear();
  waiting_bytes_ = 0;
}

StreamAssembler::StreamState StreamAssembler::Accept(
    SseEvent event,
    std::vector<std::string>& ready) {
  const std::uint64_t offset = event.id.value_or(implied_offset_);
  implied_offset_ = offset + 1;
  if (event.data == "[DONE]") {
    has_end_ = true;
    end_offset_ = offset;
    return CurrentState();
  }
  if (offset < next_offset_) {
    ++duplicates_;
    return CurrentState();
  }
  if (offset > next_offset_) {
    const std::size_t n = event.data.size();
    if (waiting_.emplace(offset, std::move(event.data)).second) {
      waiting_bytes_ += n;
      ++reordered_;
    } else {
      ++duplicates_;
    }
    return CurrentState();
  }
  ready.push_back(std::move(event.data));
  ++next_offset_;
  for (auto it = waiting_.begin();
       it != waiting_.end() && it->first == next_offset_;) {
    waiting_bytes_ -= it->second.size();
    ready.push_back(std::move(it->second));
    it = waiting_.erase(it);
    ++next_offset_;
  }
  return CurrentState();
}

StreamAssembler::StreamState StreamAssembler::CurrentState() const {
  if (waiting_.size() > kMaxWaiting || waiting_bytes_ > kMaxWaitingBytes) {
    return StreamState::kBroken;
  }
  if (!has_end_ || end_offset_ > next_offset_) {
    return StreamState::kOpen;
  }
  const bool contradicts = end_offset_ < next_offset_ || !waiting_.empty();
  return contradicts ? StreamState::kBroken : StreamState::kDone;
}

}  // namespace flamingogauge
