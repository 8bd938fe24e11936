#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_SOUND_KEYS_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_SOUND_KEYS_H_

#include <cstddef>
#include <map>
#include <optional>

#include "libs/dispatching/crash_evidence.h"
#include "libs/kernel/time.h"

namespace flamingogauge {

// When upstreams last wrote responses with each key. Bounded: the keys that
// were recorded last are remembered, because a prompt part is in use for a
// while and then no longer.
class SoundKeys {
 public:
  // Between one and two times as many keys are remembered.
  static constexpr std::size_t kGenerationSize = 2048;

  // Keeps the later time if the key is known. Returns false if nothing changed.
  bool Record(const SuspectKey& key, MonotonicTime sound_at);
  std::optional<MonotonicTime> Find(const SuspectKey& key) const;

 private:
  std::map<SuspectKey, MonotonicTime> recent_;
  std::map<SuspectKey, MonotonicTime> older_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_SOUND_KEYS_H_
