#include <doctest/doctest.h>

#include <string>
#include <variant>

#include "libs/digest/sha256.h"
#include "plugins/requests/request_validator.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr MonotonicTime kNow{std::chrono::hours(1)};

Document MakeDocument() {
  Document document;
  document.revision = 1;
  document.tiers = {{.name = "urgent", .deadline = milliseconds(5000)},
                    {.name = "normal", .deadline = milliseconds(20000)},
                    {.name = "bulk", .deadline = milliseconds(60000)}};
  document.workspaces = {{.id = "w",
                          .key_hashes = {Sha256Hex("secret")},
                          .default_tier = 2,
                          .highest_tier = 1}};
  document.models = {{.id = "m", .max_context_tokens = 100}};
  document.services = {{.id = "bookings", .time_limit = milliseconds(3000)}};
  document.workspace_by_key_hash[Sha256Hex("secret")] = 0;
  return document;
}

std::variant<ValidRequest, Refusal> Validate(CallerRequest request) {
  return ValidateRequest(MakeDocument(), {}, std::move(request), kNow);
}

CallerRequest Chat(const std::string& extra = "",
                   const std::string& prompt = "hi") {
  return {.method = "POST",
          .path = "/v1/chat/completions",
          .bearer_key = "secret",
          .body = R"({"model":"m","messages":[{"role":"user","content":")" +
                  prompt + "\"}]" + extra + "}"};
}

// Guards against requests that are accepted without a workspace, a known target
// or a required key, and against refusals of the wrong kind.
TEST_CASE("ValidateRequest refuses invalid requests") {
  struct Row {
    const char* name;
    CallerRequest request;
    RefusalKind kind;
    RunStatus status;
  };
  CallerRequest no_key = Chat();
  no_key.bearer_key.clear();
  CallerRequest wrong_key = Chat();
  wrong_key.bearer_key = "other";
  CallerRequest get = Chat();
  get.method = "GET";
  CallerRequest keyed = get;
  keyed.idempotency_key = "k";
  const auto service = [](std::string method, std::string path,
                          std::string key) {
    return CallerRequest{.method = std::move(method),
                         .path = std::move(path),
                         .bearer_key = "secret",
                         .idempotency_key = std::move(key)};
  };
  for (const Row& row :
       {Row{"no key", no_key, RefusalKind::kUnauthenticated,
            RunStatus::kNotRun},
        Row{"wrong key", wrong_key, RefusalKind::kUnauthenticated,
            RunStatus::kNotRun},
        Row{"method", get, RefusalKind::kInvalidRequest, RunStatus::kNotRun},
        // An earlier attempt with the same key may have been executed.
        Row{"keyed", keyed, RefusalKind::kInvalidRequest,
            RunStatus::kAttemptNotRun},
        Row{"long prompt", Chat("", std::string(500, 'x')),
            RefusalKind::kTooLarge, RunStatus::kNotRun},
        Row{"tier", Chat(R"(,"tier":"none")"), RefusalKind::kInvalidRequest,
            RunStatus::kNotRun},
        Row{"path", service("GET", "/v2/x", ""), RefusalKind::kNotFound,
            RunStatus::kNotRun},
        Row{"service", service("GET", "/v1/services/none/x", ""),
            RefusalKind::kNotFound, RunStatus::kNotRun},
        Row{"booking without key",
            service("POST", "/v1/services/bookings/new", ""),
            RefusalKind::kInvalidRequest, RunStatus::kNotRun},
        Row{"long key",
            service("POST", "/v1/services/bookings/new", std::string(201, 'k')),
            RefusalKind::kInvalidRequest, RunStatus::kAttemptNotRun}}) {
    CAPTURE(row.name);
    const auto result = Validate(row.request);
    const auto* refusal = std::get_if<Refusal>(&result);
    REQUIRE(refusal != nullptr);
    CHECK(refusal->kind == row.kind);
    CHECK(refusal->run_status == row.status);
    CHECK_FALSE(refusal->message.empty());
  }
}

// Guards against a request in a more urgent tier than its workspace may use.
TEST_CASE("ValidateRequest caps the tier") {
  struct Row {
    const char* asked;
    Tier tier;
  };
  for (const Row& row :
       {Row{"", 2}, Row{"bulk", 2}, Row{"normal", 1}, Row{"urgent", 1}}) {
    CallerRequest request = Chat();
    request.tier = row.asked;
    const auto result = Validate(request);
    const auto* valid = std::get_if<ValidRequest>(&result);
    REQUIRE(valid != nullptr);
    CHECK(valid->spec.tier == row.tier);
    CHECK(valid->spec.response_mode == ResponseMode::kBuffered);
    CHECK(valid->spec.workspace == "w");
  }
}

// Guards against service calls with a modified path, against claims for reads,
// and against non-idempotent calls without a claim.
TEST_CASE("ValidateRequest prepares service calls") {
  const auto read = Validate({.method = "GET",
                              .path = "/v1/services/bookings/status/7",
                              .query = "a=1",
                              .bearer_key = "secret"});
  const auto* status = std::get_if<ValidRequest>(&read);
  REQUIRE(status != nullptr);
  CHECK(status->path == "/status/7?a=1");
  CHECK_FALSE(status->spec.needs_claim);
  CHECK(status->spec.deadline == kNow + milliseconds(3000));

  const auto write = Validate({.method = "POST",
                               .path = "/v1/services/bookings/new",
                               .bearer_key = "secret",
                               .idempotency_key = "k1",
                               .content_type = "application/json",
                               .body = "{}"});
  const auto* booking = std::get_if<ValidRequest>(&write);
  REQUIRE(booking != nullptr);
  CHECK(booking->spec.needs_claim);
  CHECK(booking->headers.size() == 2);
  CHECK(booking->body == "{}");
}

}  // namespace
}  // namespace flamingogauge
