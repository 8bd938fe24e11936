#include "libs/dispatching/crash_evidence.h"

#include "libs/model/fingerprint.h"

namespace flamingogauge {

std::string ToString(const SuspectKey& key) {
  const std::string kind =
      key.kind == SuspectKey::Kind::kRequest ? "request " : "prompt part ";
  return kind + FormatHash(key.id);
}

std::vector<SuspectKey> AllKeys(const RequestKeys& keys) {
  std::vector<SuspectKey> all = {
      {.kind = SuspectKey::Kind::kRequest, .id = keys.request}};
  for (const std::uint64_t it : keys.prompt_parts) {
    all.push_back({.kind = SuspectKey::Kind::kPromptPart, .id = it});
  }
  return all;
}

std::string QuarantineReason(const SuspectKey& key) {
  return key.kind == SuspectKey::Kind::kRequest
             ? "the request has crashed several upstreams"
             : "a part of the prompt has crashed several upstreams";
}

}  // namespace flamingogauge
