#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "libs/explaining/explain_question.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// Guards against a command and a host that disagree about a field.
TEST_CASE("a question is read as it was written") {
  const ExplainQuestion question{.method = "POST",
                                 .host = "api.test",
                                 .target = "/once/a?b=c",
                                 .workspace = "acme",
                                 .request_id = "id-1",
                                 .time_limit = milliseconds(0),
                                 .prompt_tokens = 1200,
                                 .output_tokens = 80,
                                 .expected_output_tokens = 40,
                                 .prompt_prefix = "a1f:100,2:1100",
                                 .body = "\"quoted\"\n"};
  const Result<ExplainQuestion> read =
      ParseExplainQuestion(FormatExplainQuestion(question));
  REQUIRE(read);
  CHECK(read.value().method == question.method);
  CHECK(read.value().host == question.host);
  CHECK(read.value().target == question.target);
  CHECK(read.value().workspace == question.workspace);
  CHECK(read.value().request_id == question.request_id);
  CHECK(read.value().time_limit == question.time_limit);
  CHECK(read.value().prompt_tokens == question.prompt_tokens);
  CHECK(read.value().output_tokens == question.output_tokens);
  CHECK(read.value().expected_output_tokens == question.expected_output_tokens);
  CHECK(read.value().prompt_prefix == question.prompt_prefix);
  CHECK(read.value().body == question.body);
}

// Guards against a malformed question that is answered for another request, or
// whose fault cannot be found, and against a key in an error message.
TEST_CASE(
    "a malformed question is refused with the field and what is allowed") {
  struct Row {
    std::string text;
    std::string message;
  };
  const std::string begin = R"({"method":"GET","target":"/a")";
  for (const Row& row : std::vector<Row>{
           {"", "the question: allowed: a JSON object"},
           {"[]", "the question: allowed: a JSON object"},
           {begin, "the question: allowed: a JSON object"},
           {R"({"method":"GET"})", "target: allowed: the field is required"},
           {R"({"target":"/a"})", "method: allowed: the field is required"},
           {R"({"method":"get","target":"/a"})", "method: allowed: 1 to 16"},
           {R"({"method":"GET","target":"a"})", "target: allowed: a path"},
           {R"({"method":"GET","target":"/a b"})", "target: allowed: a path"},
           {R"({"method":"GET","target":7})", "target: allowed: a path"},
           {begin + R"(,"key":"secret\r\nx: y"})", "key: allowed: visible"},
           {begin + R"(,"host":"a\u0000"})", "host: allowed: visible"},
           {begin + R"(,"prompt_tokens":-1})",
            "prompt_tokens: allowed: an integer from 0 to 1000000000"},
           {begin + R"(,"prompt_tokens":1.5})", "prompt_tokens: allowed"},
           {begin + R"(,"output_tokens":1000000001})",
            "output_tokens: allowed"},
           {begin + R"(,"time_limit_ms":"5"})",
            "time_limit_ms: allowed: an integer from 0 to 86400000"},
           {begin + R"(,"prompt_prefix":"xyz:1"})", "prompt_prefix: allowed"},
           {begin + R"(,"prompt_prefix":"a:1,,b:2"})",
            "prompt_prefix: allowed"},
           {begin + R"(,"prompt_prefix":"12345678901234567:1"})",
            "prompt_prefix: allowed"},
           {begin + R"(,"key":"secret","workspace":"acme"})",
            "workspace: allowed: no value beside a key"},
           {begin + R"(,"tokens":1})",
            "an unknown field: allowed: method, target, host"},
           {begin + R"(,"body":")" + std::string(70000, 'a') + "\"}",
            "the question: allowed: 65536 bytes"},
       }) {
    CAPTURE(row.text.substr(0, 100));
    const Result<ExplainQuestion> read = ParseExplainQuestion(row.text);
    REQUIRE_FALSE(read);
    CHECK(read.error().code == ErrorCode::kInvalidArgument);
    CHECK(read.error().message.starts_with(row.message));
    CHECK(read.error().message.find("secret") == std::string::npos);
  }
}

}  // namespace
}  // namespace flamingogauge
