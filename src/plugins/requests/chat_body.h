#ifndef FLAMINGOGAUGE_PLUGINS_REQUESTS_CHAT_BODY_H_
#define FLAMINGOGAUGE_PLUGINS_REQUESTS_CHAT_BODY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libs/kernel/error.h"

namespace flamingogauge {

// The fields read from the body of a chat completion request.
struct ChatBody {
  std::string model;
  bool stream = false;
  // 0 if the caller set no limit.
  std::uint32_t max_tokens = 0;
  // Name of the tier, or empty.
  std::string tier;
  // The contents of all messages, joined by line feeds. Used to estimate the
  // prompt length and to compute prefix hashes.
  std::string prompt;
  // The body without the fields that do not affect the result. Input of the
  // request fingerprint.
  std::string canonical;
  // The body sent to the engine: streaming is always on, and the `tier` field
  // is removed.
  std::string engine_body;
};

// Parses the JSON body. An error names the field and the allowed values.
Result<ChatBody> ParseChatBody(std::string_view text);

// Token counts reported by the engine.
struct TokenUsage {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
  std::uint32_t output_tokens = 0;
};

// Returns the usage contained in an event of an engine's stream, if any.
std::optional<TokenUsage> FindUsage(std::string_view event);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_REQUESTS_CHAT_BODY_H_
