#include <doctest/doctest.h>

#include <string>

#include "plugins/requests/answer_assembler.h"

namespace flamingogauge {
namespace {

// Guards against assembled responses that lose text, choices, tool calls or the
// finish reason.
TEST_CASE("AnswerAssembler joins the events of a stream") {
  AnswerAssembler assembler;
  for (
      const char* event :
      {R"({"id":"c","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":"Hel"},"finish_reason":null}]})",
       R"({"id":"c","object":"chat.completion.chunk","model":"m","choices":[{"index":1,"delta":{"content":"two"}},{"index":0,"delta":{"content":"lo"}}]})",
       R"({"id":"c","choices":[{"index":1,"delta":{"tool_calls":[{"index":0,"id":"t","type":"function","function":{"name":"f","arguments":"{\"a\""}}]}}]})",
       R"({"id":"c","choices":[{"index":1,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},"finish_reason":"tool_calls"}]})",
       R"({"id":"c","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]})",
       R"({"id":"c","choices":[],"usage":{"prompt_tokens":1}})"}) {
    assembler.Add(event);
  }
  const auto answer = assembler.Finish();
  REQUIRE(answer.has_value());
  CHECK(
      answer.value() ==
      R"({"id":"c","object":"chat.completion","model":"m","usage":{"prompt_tokens":1},"choices":[)"
      R"({"index":0,"message":{"role":"assistant","content":"Hello"},"finish_reason":"stop"},)"
      R"({"index":1,"message":{"role":"assistant","content":"two","tool_calls":[{"index":0,"id":"t","type":"function","function":{"name":"f","arguments":"{\"a\":1}"}}]},"finish_reason":"tool_calls"}]})");
}

// Guards against a broken stream that is returned as a complete response (I3).
TEST_CASE("AnswerAssembler rejects events that it cannot parse") {
  for (const char* event :
       {"not json", "[]", R"({"error":{"message":"out of memory"}})"}) {
    AnswerAssembler assembler;
    assembler.Add(R"({"choices":[{"index":0,"delta":{"content":"a"}}]})");
    assembler.Add(event);
    CHECK_FALSE(assembler.Finish().has_value());
  }
  AnswerAssembler empty;
  CHECK_FALSE(empty.Finish().has_value());
}

}  // namespace
}  // namespace flamingogauge
