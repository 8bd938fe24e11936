#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "plugins/upstreams/curl_upstream_client.h"
#include "tests/auto/upstreams/recording_observer.h"
#include "tests/fakes/fake_service/fake_service.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

UpstreamCall Booking(const std::string& address, const std::string& key) {
  return {.id = {.sequence = 1},
          .upstream = "booking-1",
          .address = address,
          .path = "/book",
          .headers = {{"Idempotency-Key", key}},
          .body = R"({"crew":3})",
          .max_answer_bytes = 1000,
          .first_byte_time_limit = milliseconds(500),
          .gap_time_limit = milliseconds(300),
          .total_time_limit = milliseconds(10000)};
}

// Each row guards against a booking that is executed twice, or that is reported
// as completed or not executed when this is not known.
struct BookingCase {
  std::string name;
  FakeServiceFaults faults;
  std::uint64_t executions = 0;
  bool complete = false;
  ErrorCode error = ErrorCode::kInternal;
  ExecutionKnowledge knowledge = ExecutionKnowledge::kMaybeExecuted;
};

TEST_CASE("a booking is sent once whatever happens to its answer") {
  const std::vector<BookingCase> cases{
      {"answered", {}, 1, true},
      {"answer dropped after execution",
       {.drop_answer = true},
       1,
       false,
       ErrorCode::kUnavailable},
      {"refused before execution",
       {.refuse = true},
       0,
       false,
       ErrorCode::kUnavailable,
       ExecutionKnowledge::kNotExecuted},
      {"answer later than the limit",
       {.delay = milliseconds(1500)},
       1,
       false,
       ErrorCode::kTimeout},
      {"answer larger than the limit",
       {.padding = 5000},
       1,
       false,
       ErrorCode::kResourceExhausted},
  };
  for (const BookingCase& row : cases) {
    CAPTURE(row.name);
    FakeService service(0);
    service.SetFaults(row.faults);
    CurlUpstreamClient client({}, 1);
    auto observer = std::make_shared<RecordingObserver>();
    client.Start(Booking(service.address(), "k"), observer);
    const CallRecord record = observer->WaitForEnd();
    CHECK(record.ends == 1);
    CHECK(record.complete == row.complete);
    CHECK(service.Executions("k") == row.executions);
    if (!row.complete) {
      REQUIRE(record.error);
      CHECK(record.error->code == row.error);
      CHECK(record.knowledge == row.knowledge);
    }
  }
}

}  // namespace
}  // namespace flamingogauge
