#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "libs/platform/in_memory_object_store.h"
#include "libs/platform/virtual_task_runner.h"

namespace flamingogauge {
namespace {

// Runs each call to completion in virtual time and returns its result.
class StoreFixture {
 public:
  VirtualTaskRunner runner;
  InMemoryObjectStore store{runner};

  Result<StoredObject> Get(const std::string& key) {
    return Finish([&](auto done) { store.Get(key, done); });
  }
  Result<StoredObject> Create(const std::string& key,
                              const std::string& value) {
    return Finish([&](auto done) { store.Create(key, value, done); });
  }
  Result<StoredObject> Update(const std::string& key,
                              const std::string& value,
                              std::uint64_t version) {
    return Finish([&](auto done) { store.Update(key, value, version, done); });
  }

 private:
  template <typename Function>
  Result<StoredObject> Finish(Function function) {
    std::optional<Result<StoredObject>> result;
    function([&result](Result<StoredObject> it) { result = std::move(it); });
    while (!result && runner.RunOne()) {
    }
    REQUIRE(result.has_value());
    return *result;
  }
};

// Guards against conditional changes that succeed for the wrong version.
TEST_CASE("InMemoryObjectStore applies conditional changes") {
  StoreFixture fixture;
  CHECK(fixture.Get("a").error().code == ErrorCode::kNotFound);
  const std::uint64_t first = fixture.Create("a", "1").value().version;
  CHECK(fixture.Create("a", "2").error().code == ErrorCode::kAlreadyExists);
  const std::uint64_t second = fixture.Update("a", "2", first).value().version;
  CHECK(second > first);
  CHECK(fixture.Update("a", "3", first).error().code ==
        ErrorCode::kVersionMismatch);
  CHECK(fixture.Update("b", "3", 1).error().code == ErrorCode::kNotFound);
  CHECK(fixture.Get("a").value().value == "2");
  const std::string too_large(kMaxObjectBytes + 1, 'x');
  CHECK(fixture.Update("a", too_large, second).error().code ==
        ErrorCode::kInvalidArgument);
}

// Guards against incorrect fault injection, on which the tests of claims and
// configuration depend.
TEST_CASE("InMemoryObjectStore injects faults") {
  StoreFixture fixture;
  SUBCASE("an outage changes nothing") {
    fixture.store.SetFaults({.outage = true});
    CHECK(fixture.Create("a", "1").error().code == ErrorCode::kUnavailable);
    fixture.store.SetFaults({});
    CHECK(fixture.Get("a").error().code == ErrorCode::kNotFound);
  }
  SUBCASE("a change takes effect although its response is lost") {
    fixture.store.SetFaults({.lost_answers = 1});
    CHECK(fixture.Create("a", "1").error().code == ErrorCode::kUnknownOutcome);
    CHECK(fixture.Get("a").value().value == "1");
    CHECK(fixture.Create("a", "2").error().code == ErrorCode::kAlreadyExists);
  }
  SUBCASE("a change with a lost response may take effect later") {
    fixture.store.SetFaults(
        {.lost_answers = 1, .lost_change_delay = std::chrono::seconds(2)});
    CHECK(fixture.Create("a", "1").error().code == ErrorCode::kUnknownOutcome);
    CHECK(fixture.Get("a").error().code == ErrorCode::kNotFound);
    fixture.runner.RunFor(std::chrono::seconds(3));
    CHECK(fixture.Get("a").value().value == "1");
  }
  SUBCASE("a slow store responds after the delay") {
    fixture.store.SetFaults({.delay = std::chrono::seconds(5)});
    const MonotonicTime start = fixture.runner.Now();
    CHECK(fixture.Create("a", "1").has_value());
    CHECK(fixture.runner.Now() - start == std::chrono::seconds(5));
  }
}

// Guards against watches that miss a change, never end, or end too early.
TEST_CASE("InMemoryObjectStore ends watches on change, timeout and outage") {
  StoreFixture fixture;
  const std::uint64_t version = fixture.Create("a", "1").value().version;
  std::optional<Result<StoredObject>> result;
  fixture.store.Watch("a", version, std::chrono::milliseconds(1000),
                      [&](auto it) { result = std::move(it); });
  SUBCASE("change") {
    CHECK(fixture.Update("a", "2", version).has_value());
    fixture.runner.RunFor(Duration::zero());
    REQUIRE(result.has_value());
    CHECK(result->value().value == "2");
  }
  SUBCASE("time limit") {
    fixture.runner.RunFor(std::chrono::milliseconds(999));
    CHECK_FALSE(result.has_value());
    fixture.runner.RunFor(std::chrono::milliseconds(2));
    REQUIRE(result.has_value());
    CHECK(result->error().code == ErrorCode::kTimeout);
  }
  SUBCASE("outage") {
    fixture.store.SetFaults({.outage = true});
    fixture.runner.RunFor(Duration::zero());
    REQUIRE(result.has_value());
    CHECK(result->error().code == ErrorCode::kUnavailable);
  }
}

}  // namespace
}  // namespace flamingogauge
