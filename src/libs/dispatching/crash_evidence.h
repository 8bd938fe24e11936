#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_CRASH_EVIDENCE_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_CRASH_EVIDENCE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace flamingogauge {

// What may crash the upstreams that run it: a request, however often its caller
// repeats it, or a prompt part that requests share.
struct SuspectKey {
  enum class Kind : std::uint8_t { kRequest, kPromptPart };

  Kind kind = Kind::kRequest;
  // The request's fingerprint, or the id of the prompt part.
  std::uint64_t id = 0;

  bool operator==(const SuspectKey&) const = default;
  bool operator<(const SuspectKey& other) const {
    return std::tie(kind, id) < std::tie(other.kind, other.id);
  }
};

// Formats as "request 5d88cc16" or "prompt part 12ca9047".
std::string ToString(const SuspectKey& key);

// The reason for refusing a request with this key.
std::string QuarantineReason(const SuspectKey& key);

// The keys of one request.
struct RequestKeys {
  // Identifies the request by caller, target and body.
  std::uint64_t request = 0;
  // The prompt's parts in order, without the last one, which is not shared.
  std::vector<std::uint64_t> prompt_parts;

  bool operator==(const RequestKeys&) const = default;
};

// All keys of the request: its own first, then those of the parts in order.
std::vector<SuspectKey> AllKeys(const RequestKeys& keys);

// A request that was lost when its upstream crashed.
struct CrashRecord {
  // The upstream's PeerUpstreamKey.
  std::uint64_t upstream = 0;
  RequestKeys keys;
  // Time since the crash.
  std::chrono::milliseconds age{0};

  bool operator==(const CrashRecord&) const = default;
};

// A key with which an upstream wrote a response without a crash.
struct SoundKey {
  SuspectKey key;
  // Time since the upstream began to write.
  std::chrono::milliseconds age{0};

  bool operator==(const SoundKey&) const = default;
};

// A key that is refused.
struct QuarantinedKey {
  SuspectKey key;
  // Time since the quarantine began.
  std::chrono::milliseconds age{0};
  // How often in a row the key was quarantined; each time for twice as long.
  int strikes = 1;

  bool operator==(const QuarantinedKey&) const = default;
};

// What hosts tell each other about crashes.
struct CrashEvidence {
  std::vector<CrashRecord> crashes;
  std::vector<SoundKey> sound;
  std::vector<QuarantinedKey> quarantined;

  bool operator==(const CrashEvidence&) const = default;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_CRASH_EVIDENCE_H_
