#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "libs/http_server/http_server.h"
#include "tests/support/test_connection.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWaitLimit{10000};

// A server that passes each exchange to the test.
class TestServer {
 public:
  explicit TestServer(HttpServerSettings settings)
      : server_(
            std::move(settings),
            [this](HttpRequest request,
                   std::shared_ptr<HttpExchange> exchange) {
              exchange->SetListener([this] { ++gone; }, [this] { ++drained; });
              std::lock_guard<std::mutex> lock(mutex_);
              requests_.push_back({std::move(request), std::move(exchange)});
              changed_.notify_all();
            },
            [](int /*status*/, const std::string& text) {
              return HttpServer::ErrorAnswer{.content_type = "text/plain",
                                             .body = text};
            }) {
    const Result<void> started = server_.Start();
    REQUIRE(started.has_value());
  }

  struct Received {
    HttpRequest request;
    std::shared_ptr<HttpExchange> exchange;
  };

  Received Next() {
    std::unique_lock<std::mutex> lock(mutex_);
    REQUIRE(changed_.wait_for(lock, kWaitLimit,
                              [this] { return !requests_.empty(); }));
    Received received = std::move(requests_.front());
    requests_.pop_front();
    return received;
  }

  HttpServer& server() { return server_; }
  std::string address() const { return server_.ListeningAddress(); }

  std::atomic<int> gone = 0;
  std::atomic<int> drained = 0;

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Received> requests_;
  HttpServer server_;
};

template <typename Condition>
bool Eventually(Condition condition) {
  const auto deadline = std::chrono::steady_clock::now() + kWaitLimit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(1));
  }
  return true;
}

// Guards against lost headers, bodies and queries, and against connections that
// cannot be reused for further requests.
TEST_CASE("HttpServer serves several requests on one connection") {
  TestServer server({});
  TestConnection connection(server.address());
  for (int it = 0; it < 3; ++it) {
    REQUIRE(connection.Send(FormatTestRequest(
        "POST", "/v1/thing?a=1", {"Authorization: Bearer k", "X-Other: two"},
        "body " + std::to_string(it))));
    auto received = server.Next();
    CHECK(received.request.method == "POST");
    CHECK(received.request.path == "/v1/thing");
    CHECK(received.request.query == "a=1");
    CHECK(received.request.Header("authorization") == "Bearer k");
    CHECK(received.request.Header("x-other") == "two");
    CHECK(received.request.body == "body " + std::to_string(it));
    if (it == 1) {
      received.exchange->StartStream(200, {}, "text/event-stream");
      received.exchange->SendPart("data: x\n\n");
      received.exchange->EndStream(true);
      CHECK(connection.ReadAnswer().Events() == std::vector<std::string>{"x"});
    } else {
      received.exchange->SendWhole(409, {{.name = "X-A", .value = "b\r\nc"}},
                                   "text/plain", "answer");
      const TestAnswer answer = connection.ReadAnswer();
      CHECK(answer.status == 409);
      CHECK(answer.headers.at("x-a") == "b  c");
      CHECK(answer.body == "answer");
    }
  }
}

// Guards against unbounded requests, incomplete requests that keep a connection
// open indefinitely, and malformed requests that crash the server.
TEST_CASE("HttpServer limits requests in size and time") {
  HttpServerSettings settings;
  settings.max_request_bytes = 2048;
  settings.head_time_limit = milliseconds(100);
  settings.request_time_limit = milliseconds(100);
  settings.idle_time_limit = milliseconds(100);
  TestServer server(settings);
  struct Row {
    std::string sent;
    int status;
  };
  for (const Row& row :
       {Row{FormatTestRequest("POST", "/", {}, std::string(4096, 'x')), 413},
        Row{"NONSENSE\r\n\r\n", 400}, Row{"", 0}, Row{"POST / HTTP/1.1\r\n", 0},
        Row{"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab", 0}}) {
    CAPTURE(row.sent);
    TestConnection connection(server.address());
    REQUIRE(connection.Send(row.sent));
    CHECK(connection.ReadAnswer().status == row.status);
    CHECK(connection.ReadsEnd());
  }
  // Each connection is closed shortly before it is counted.
  CHECK(Eventually(
      [&server] { return server.server().Counts().timed_out == 3; }));
}

// Guards against unbounded memory use for the response to a caller that does
// not read.
TEST_CASE("HttpServer drops a caller that does not read") {
  HttpServerSettings settings;
  settings.max_outstanding_bytes = 1U << 20U;
  TestServer server(settings);
  TestConnection connection(server.address());
  REQUIRE(connection.Send(FormatTestRequest("POST", "/", {}, "")));
  const auto received = server.Next();
  received.exchange->StartStream(200, {}, "text/event-stream");
  const std::string part(16384, 'x');
  std::size_t most = 0;
  // The socket buffers on both sides first take up a few megabytes.
  for (int it = 0; it < 4096 && server.gone == 0; ++it) {
    most = std::max(most, received.exchange->SendPart(part));
    std::this_thread::sleep_for(std::chrono::microseconds(200));
  }
  CHECK(Eventually([&server] { return server.gone == 1; }));
  CHECK(most <= settings.max_outstanding_bytes);
  CHECK(most > settings.resume_bytes);
}

// Guards against an upstream call that stays paused after its caller resumes
// reading.
TEST_CASE("HttpServer notifies when a slow caller has caught up") {
  TestServer server({});
  TestConnection connection(server.address());
  REQUIRE(connection.Send(FormatTestRequest("POST", "/", {}, "")));
  const auto received = server.Next();
  received.exchange->StartStream(200, {}, "text/event-stream");
  std::string sent;
  const std::string part(16384, 'y');
  std::size_t outstanding = 0;
  while (outstanding <= (256U << 10U)) {
    outstanding = received.exchange->SendPart(part);
    sent += part;
    std::this_thread::sleep_for(std::chrono::microseconds(200));
  }
  CHECK(server.drained == 0);
  received.exchange->SendPart("end");
  std::thread reader([&connection, &sent] {
    const TestAnswer answer = connection.ReadAnswer();
    CHECK(answer.complete);
    CHECK(answer.body == sent + "end");
  });
  CHECK(Eventually([&server] { return server.drained == 1; }));
  received.exchange->EndStream(true);
  reader.join();
}

// Guards against sending bytes of one caller's response on a connection that
// reuses the file descriptor of that caller's closed connection (I3). Threads
// write to callers that disconnect while new callers connect immediately.
TEST_CASE("no answer reaches a connection that reuses a descriptor") {
  constexpr int kRounds = 6000;
  constexpr int kWriters = 4;
  HttpServerSettings settings;
  settings.threads = 1;
  TestServer server(settings);
  std::mutex mutex;
  std::vector<std::shared_ptr<HttpExchange>> abandoned;
  std::atomic<bool> stop = false;
  std::vector<std::thread> writers;
  for (int it = 0; it < kWriters; ++it) {
    writers.emplace_back([&] {
      while (!stop) {
        std::vector<std::shared_ptr<HttpExchange>> exchanges;
        {
          std::lock_guard<std::mutex> lock(mutex);
          exchanges = abandoned;
        }
        for (const auto& exchange : exchanges) {
          exchange->SendPart("data: foreign\n\n");
        }
      }
    });
  }
  int foreign = 0;
  for (int it = 0; it < kRounds; ++it) {
    TestConnection aborted(server.address());
    REQUIRE(aborted.Send(FormatTestRequest("POST", "/victim", {}, "")));
    auto received = server.Next();
    received.exchange->StartStream(200, {}, "text/event-stream");
    {
      std::lock_guard<std::mutex> lock(mutex);
      abandoned.push_back(received.exchange);
      if (abandoned.size() > 8) {
        abandoned.erase(abandoned.begin());
      }
    }
    aborted.Reset();
    TestConnection next(server.address());
    REQUIRE(next.Send(FormatTestRequest("POST", "/next", {}, "")));
    server.Next().exchange->SendWhole(200, {}, "text/plain", "own");
    const TestAnswer answer = next.ReadAnswer();
    foreign += answer.status == 200 && answer.body == "own" ? 0 : 1;
  }
  stop = true;
  for (std::thread& it : writers) {
    it.join();
  }
  CHECK(foreign == 0);
  CHECK(Eventually([&server] { return server.gone == kRounds; }));
}

// Guards against a drain that truncates a response still being written, or that
// waits for idle connections.
TEST_CASE("HttpServer drains when the last response is written") {
  TestServer server({});
  TestConnection idle(server.address());
  TestConnection connection(server.address());
  REQUIRE(connection.Send(FormatTestRequest("POST", "/", {}, "")));
  const auto received = server.Next();
  std::atomic<bool> drained = false;
  server.server().Drain([&drained] { drained = true; });
  std::this_thread::sleep_for(milliseconds(50));
  CHECK_FALSE(drained);
  received.exchange->SendWhole(200, {}, "text/plain", "late");
  CHECK(connection.ReadAnswer().body == "late");
  CHECK(Eventually([&drained] { return drained.load(); }));
}

// Guards against silently dropping a second request in the same packet, whose
// response the caller would wait for indefinitely.
TEST_CASE("HttpServer closes after the answer when requests are pipelined") {
  TestServer server({});
  TestConnection connection(server.address());
  const std::string request = FormatTestRequest("POST", "/", {}, "x");
  REQUIRE(connection.Send(request + request));
  server.Next().exchange->SendWhole(200, {}, "text/plain", "one");
  const TestAnswer answer = connection.ReadAnswer();
  CHECK(answer.body == "one");
  CHECK(answer.headers.at("connection") == "close");
  CHECK(connection.ReadsEnd());
}

}  // namespace
}  // namespace flamingogauge
