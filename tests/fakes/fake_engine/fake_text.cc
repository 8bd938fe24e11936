#include "tests/fakes/fake_engine/fake_text.h"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "libs/kernel/random.h"
#include "libs/model/fingerprint.h"

namespace flamingogauge {

std::optional<FakeChatRequest> ParseFakeChatRequest(std::string_view body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("messages") ||
      !json["messages"].is_array()) {
    return std::nullopt;
  }
  FakeChatRequest request;
  if (json.contains("model") && json["model"].is_string()) {
    request.model = json["model"].get<std::string>();
  }
  for (const auto& it : json["messages"]) {
    if (!it.is_object() || !it.contains("content") ||
        !it["content"].is_string()) {
      return std::nullopt;
    }
    if (!request.prompt.empty()) {
      request.prompt += '\n';
    }
    const auto& content = it["content"].get_ref<const std::string&>();
    request.prompt += content;
    request.cache_text += it.value("role", "") + "\n" + content + "\n";
  }
  if (json.contains("max_tokens") && json["max_tokens"].is_number_unsigned()) {
    request.max_tokens = json["max_tokens"].get<std::size_t>();
  }
  return request;
}

std::size_t CountFakeTokens(std::string_view text) {
  constexpr std::size_t kBytesPerToken = 4;
  return (text.size() + kBytesPerToken - 1) / kBytesPerToken;
}

std::uint64_t FakeSeed(std::string_view prompt) {
  return ComputeContentHash(prompt).low;
}

std::string FakeToken(std::uint64_t seed, std::size_t offset) {
  const std::uint64_t bits = Random(seed + offset).Next();
  std::array<char, 16> buf{};
  const int n = std::snprintf(buf.data(), buf.size(), "%06x ",
                              static_cast<unsigned>(bits & 0xffffffU));
  return std::string(buf.data(), static_cast<std::size_t>(n));
}

std::string FakeAnswer(std::string_view prompt, std::size_t tokens) {
  const std::uint64_t seed = FakeSeed(prompt);
  std::string answer;
  for (std::size_t i = 0; i < tokens; ++i) {
    answer += FakeToken(seed, i);
  }
  return answer;
}

}  // namespace flamingogauge
