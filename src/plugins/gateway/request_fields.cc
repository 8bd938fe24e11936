#include "plugins/gateway/request_fields.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <vector>

#include "libs/model/fingerprint.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// Parses the decimal integer at the start of `text`; returns `fallback` if
// there is none or it is out of range.
double ReadNumber(std::string_view text, double fallback) {
  std::uint64_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return parsed.ec == std::errc() ? static_cast<double>(value) : fallback;
}

// Parses "ID:TOKENS,..." with hexadecimal ids.
std::vector<PromptPart> ReadPromptParts(std::string_view text) {
  std::vector<PromptPart> parts;
  while (!text.empty()) {
    const std::string_view entry = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), entry.size() + 1));
    const std::size_t colon = entry.find(':');
    std::uint64_t id = 0;
    if (colon == std::string_view::npos ||
        std::from_chars(entry.data(), entry.data() + colon, id, 16).ec !=
            std::errc()) {
      break;
    }
    parts.push_back(
        {.id = id, .tokens = ReadNumber(entry.substr(colon + 1), 0)});
  }
  return parts;
}

}  // namespace

std::string ChooseService(const Route& route, const std::string& request_id) {
  double total = 0;
  for (const WeightedService& it : route.services) {
    total += std::max(0.0, it.weight);
  }
  constexpr std::uint64_t kSteps = 1U << 20U;
  double point =
      total * static_cast<double>(ComputeContentHash(request_id).low % kSteps) /
      static_cast<double>(kSteps);
  for (const WeightedService& it : route.services) {
    point -= std::max(0.0, it.weight);
    if (point < 0) {
      return it.service;
    }
  }
  return route.services.back().service;
}

milliseconds ReadCallerTimeout(const RelayHeaderNames& names,
                               const HttpFields& fields,
                               milliseconds fallback) {
  const std::string* limit = fields.Find(names.time_limit_ms);
  if (limit == nullptr) {
    return fallback;
  }
  // Longer limits have the same effect; the bound prevents overflow.
  constexpr milliseconds kMaxCallerTimeout = std::chrono::hours(24);
  const double stated =
      ReadNumber(*limit, static_cast<double>(fallback.count()));
  return milliseconds(static_cast<std::int64_t>(
      std::min(stated, static_cast<double>(kMaxCallerTimeout.count()))));
}

void ReadTokenCounts(const RelayHeaderNames& names, AcceptedRequest& accepted) {
  const HttpFields& fields = accepted.request.fields;
  if (const std::string* count = fields.Find(names.token_count)) {
    const std::size_t comma = std::min(count->find(','), count->size());
    accepted.prompt_tokens =
        ReadNumber(std::string_view(*count).substr(0, comma), 0);
    accepted.output_tokens = ReadNumber(
        std::string_view(*count).substr(std::min(comma + 1, count->size())), 0);
  }
  if (const std::string* hint = fields.Find(names.length_hint)) {
    accepted.expected_output_tokens = ReadNumber(*hint, 0);
  }
  if (const std::string* parts = fields.Find(names.prompt_prefix)) {
    accepted.prompt_parts = ReadPromptParts(*parts);
  }
  // The last part belongs to this request alone.
  for (std::size_t n = 0; n + 1 < accepted.prompt_parts.size(); ++n) {
    accepted.keys.prompt_parts.push_back(accepted.prompt_parts[n].id);
  }
}

}  // namespace flamingogauge
