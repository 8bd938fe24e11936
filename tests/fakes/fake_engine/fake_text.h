#ifndef FLAMINGOGAUGE_TESTS_FAKES_FAKE_ENGINE_FAKE_TEXT_H_
#define FLAMINGOGAUGE_TESTS_FAKES_FAKE_ENGINE_FAKE_TEXT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace flamingogauge {

// What the fake engine reads from the body of a chat completion.
struct FakeChatRequest {
  std::string model;
  // The contents of all messages, joined by line feeds.
  std::string prompt;
  // The roles and contents as flamingogauge hashes them for prefix caches.
  std::string cache_text;
  // 0 when the request names none.
  std::size_t max_tokens = 0;
};

// Parses the body; returns nothing when it is not a chat completion.
std::optional<FakeChatRequest> ParseFakeChatRequest(std::string_view body);

// The number of tokens of a text for the fake engine: four bytes each.
std::size_t CountFakeTokens(std::string_view text);

// The seed from which all tokens of a prompt's answer are derived.
std::uint64_t FakeSeed(std::string_view prompt);

// The token at `offset` (from 0) of the answer to the prompt with `seed`.
std::string FakeToken(std::uint64_t seed, std::size_t offset);

// The whole answer to `prompt` with `tokens` tokens.
std::string FakeAnswer(std::string_view prompt, std::size_t tokens);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_FAKES_FAKE_ENGINE_FAKE_TEXT_H_
