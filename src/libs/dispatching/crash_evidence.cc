#include "libs/dispatching/crash_evidence.h"

#include "libs/model/fingerprint.h"

namespace flamingogauge {

std::string ToString(const SuspectKey& key) {
  const std::string kind =
      key.kind == SuspectKey::Kind::kRequest ? "request " : "prompt part ";
  return kind + FormatHash(key.id);
}

std::string QuarantineReason(const SuspectKey& key) {
  return key.kind == SuspectKey::Kind::kRequest
             ? "the request has crashed several upstreams"
             : "a part of the prompt has crashed several upstreams";
}

}  // namespace flamingogauge
