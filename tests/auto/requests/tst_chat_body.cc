#include <doctest/doctest.h>

#include <string>

#include "libs/model/fingerprint.h"
#include "libs/requests/prefix_hashes.h"
#include "plugins/requests/chat_body.h"

namespace flamingogauge {
namespace {

// Guards against an engine body that still has the "tier" field or does not
// request a stream, and against fingerprints that depend on the response mode.
TEST_CASE("ParseChatBody reads and rewrites a body") {
  const auto parsed = ParseChatBody(
      R"({"model":"m","messages":[{"role":"user","content":"hi"}],)"
      R"("max_tokens":7,"tier":"urgent","temperature":0.5})");
  REQUIRE(parsed.has_value());
  const ChatBody& chat = parsed.value();
  CHECK(chat.model == "m");
  CHECK_FALSE(chat.stream);
  CHECK(chat.max_tokens == 7);
  CHECK(chat.tier == "urgent");
  CHECK(chat.prompt == "hi");
  CHECK(chat.engine_body ==
        R"({"model":"m","messages":[{"role":"user","content":"hi"}],)"
        R"("max_tokens":7,"temperature":0.5,"stream":true,)"
        R"("stream_options":{"include_usage":true}})");
  const auto streamed = ParseChatBody(
      R"({"model":"m","messages":[{"role":"user","content":"hi"}],)"
      R"("max_tokens":7,"temperature":0.5,"stream":true})");
  REQUIRE(streamed.has_value());
  CHECK(streamed.value().stream);
  CHECK(streamed.value().canonical == chat.canonical);
}

// Guards against bodies that crash the parser, and against errors that do not
// name the invalid field.
TEST_CASE("ParseChatBody rejects invalid bodies") {
  struct Row {
    std::string body;
    std::string named;
  };
  const std::string deep(100000, '[');
  for (const Row& row :
       {Row{"", "JSON object"}, Row{"[1]", "JSON object"},
        Row{"{\"model\":", "JSON object"}, Row{R"({"model":3})", "model"},
        Row{R"({"model":"m"})", "messages"},
        Row{R"({"model":"m","messages":[]})", "messages"},
        Row{R"({"model":"m","messages":["x"]})", "messages"},
        Row{R"({"model":"m","stream":"yes"})", "stream"},
        Row{R"({"model":"m","tier":1})", "tier"},
        Row{R"({"model":"m","max_tokens":0})", "max_tokens"},
        Row{R"({"model":"m","max_tokens":-5})", "max_tokens"},
        Row{R"({"model":"m","max_tokens":1.5})", "max_tokens"},
        Row{R"({"model":"m","max_tokens":99999999999})", "max_tokens"},
        Row{R"({"a":)" + deep + std::string(100000, ']') + "}", "nested"}}) {
    CAPTURE(row.body.substr(0, 60));
    const auto parsed = ParseChatBody(row.body);
    REQUIRE_FALSE(parsed.has_value());
    CHECK(parsed.error().message.find(row.named) != std::string::npos);
  }
}

// Guards against token counts that are read from events of another format.
TEST_CASE("FindUsage reads counts of an event") {
  CHECK_FALSE(FindUsage(R"({"choices":[]})").has_value());
  CHECK_FALSE(FindUsage(R"({"usage":null})").has_value());
  CHECK_FALSE(FindUsage(R"(no json "usage")").has_value());
  const auto usage =
      FindUsage(R"({"usage":{"prompt_tokens":5,"completion_tokens":6,)"
                R"("prompt_tokens_details":{"cached_tokens":4}}})");
  REQUIRE(usage.has_value());
  CHECK(usage->prompt_tokens == 5);
  CHECK(usage->output_tokens == 6);
  CHECK(usage->cached_tokens == 4);
}

// Guards against hashes that change when a prompt is extended: its cached
// prefix would no longer be found.
TEST_CASE("ComputePrefixHashes is stable when the prompt grows") {
  std::string prompt;
  for (int it = 0; it < 600; ++it) {
    prompt += std::to_string(it);
  }
  const auto whole = ComputePrefixHashes(prompt);
  const auto part = ComputePrefixHashes(prompt.substr(0, 700));
  REQUIRE(part.size() == 2);
  REQUIRE(whole.size() == prompt.size() / kPrefixBlockBytes);
  CHECK(whole[0] == part[0]);
  CHECK(whole[1] == part[1]);
  CHECK(whole[2] != whole[1]);
  CHECK(whole[2] ==
        ComputeContentHash(prompt.substr(0, 3 * kPrefixBlockBytes)).low);
  prompt[300] = '#';
  const auto changed = ComputePrefixHashes(prompt);
  CHECK(changed[0] == whole[0]);
  CHECK(changed[1] != whole[1]);
  CHECK(changed[2] != whole[2]);
  CHECK(EstimateTokens("12345") == 2);
}

}  // namespace
}  // namespace flamingogauge
