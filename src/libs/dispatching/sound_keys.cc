#include "libs/dispatching/sound_keys.h"

#include <algorithm>
#include <utility>

namespace flamingogauge {

bool SoundKeys::Record(const SuspectKey& key, MonotonicTime sound_at) {
  const std::optional<MonotonicTime> known = Find(key);
  if (known && *known >= sound_at) {
    return false;
  }
  if (recent_.size() >= kGenerationSize && !recent_.contains(key)) {
    older_ = std::exchange(recent_, {});
  }
  recent_[key] = sound_at;
  return true;
}

std::optional<MonotonicTime> SoundKeys::Find(const SuspectKey& key) const {
  if (const auto it = recent_.find(key); it != recent_.end()) {
    return it->second;
  }
  if (const auto it = older_.find(key); it != older_.end()) {
    return it->second;
  }
  return std::nullopt;
}

}  // namespace flamingogauge
