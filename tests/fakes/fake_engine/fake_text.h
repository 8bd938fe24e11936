#ifndef FLAMINGOGAUGE_TESTS_FAKES_FAKE_ENGINE_FAKE_TEXT_H_
#define FLAMINGOGAUGE_TESTS_FAKES_FAKE_ENGINE_FAKE_TEXT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace flamingogauge {

// The fields of a chat completion request that the fake engine uses.
struct FakeChatRequest {
  std::string model;
  // The contents of all messages, joined by line feeds.
  std::string prompt;
  // Roles and contents, in the form that flamingogauge hashes for prefix
  // caching.
  std::string cache_text;
  // 0 if the request has no max_tokens.
  std::size_t max_tokens = 0;
};

// Parses the body; returns std::nullopt if it is not a chat completion.
std::optional<FakeChatRequest> ParseFakeChatRequest(std::string_view body);

// Counts a text's tokens as the fake engine does: four bytes each, rounded up.
std::size_t CountFakeTokens(std::string_view text);

// The seed from which the tokens of the response to `prompt` are derived.
std::uint64_t FakeSeed(std::string_view prompt);

// The token at the zero-based `offset` of the response with this `seed`.
std::string FakeToken(std::uint64_t seed, std::size_t offset);

// The complete response to `prompt` with `tokens` tokens.
std::string FakeAnswer(std::string_view prompt, std::size_t tokens);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_FAKES_FAKE_ENGINE_FAKE_TEXT_H_
