#ifndef FLAMINGOGAUGE_PLUGINS_REQUESTS_CHAT_BODY_H_
#define FLAMINGOGAUGE_PLUGINS_REQUESTS_CHAT_BODY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libs/kernel/error.h"

namespace flamingogauge {

// What the product reads from the body of a chat completion request.
struct ChatBody {
  std::string model;
  bool stream = false;
  // 0 when the caller gave none.
  std::uint32_t max_tokens = 0;
  // The tier's name, or empty.
  std::string tier;
  // The contents of all messages, joined by line feeds, for the estimate of the
  // length and for the hashes of prefixes.
  std::string prompt;
  // The body without the fields that do not change what is computed.
  std::string canonical;
  // The body for the engine: always a stream, without our own field.
  std::string engine_body;
};

// Parses the JSON body; an error names the field and what is allowed.
Result<ChatBody> ParseChatBody(std::string_view text);

// The engine's own count of tokens.
struct TokenUsage {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
  std::uint32_t output_tokens = 0;
};

// Returns the usage that an event of an engine's stream carries, if it does.
std::optional<TokenUsage> FindUsage(std::string_view event);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_REQUESTS_CHAT_BODY_H_
