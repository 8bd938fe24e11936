#ifndef FLAMINGOGAUGE_LIBS_HTTP_CLIENT_HTTP_LOOP_H_
#define FLAMINGOGAUGE_LIBS_HTTP_CLIENT_HTTP_LOOP_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "libs/kernel/bounded_ring.h"
#include "libs/kernel/time.h"

namespace flamingogauge {

// The result of an HTTP call.
struct HttpOutcome {
  // The response status, or 0 if no complete response was received.
  int status = 0;
  std::string body;
  // The value of HttpLoopOptions::reported_field; empty without one.
  std::string reported_field;
  // The reason why there is no complete response.
  std::string failure;
  bool timed_out = false;
  // True if the call failed after request bytes were sent, so that the server
  // may have received the request.
  bool maybe_received = false;
  // True if the call exceeded calls_per_second and was not sent.
  bool budget_spent = false;
};

struct HttpCall {
  std::string method;
  // Path and query, percent-encoded.
  std::string path;
  std::vector<std::string> headers;
  std::string body;
  std::chrono::milliseconds time_limit{0};
  std::function<void(HttpOutcome)> done;
};

struct HttpLoopOptions {
  std::string address;
  std::uint32_t calls_per_second = 200;
  std::chrono::milliseconds connect_time_limit{1000};
  // The header field of responses that outcomes report; empty for none.
  std::string reported_field;
};

// Encodes text for use as a part of a path or as a value in a query.
std::string PercentEncode(const std::string& text);

// Performs HTTP calls to one server with libcurl on a dedicated thread.
// Connections are kept open and reused.
class HttpLoop {
 public:
  explicit HttpLoop(HttpLoopOptions options);
  HttpLoop(const HttpLoop&) = delete;
  HttpLoop& operator=(const HttpLoop&) = delete;

  // Fails the queued calls and those in flight, and joins the thread.
  ~HttpLoop();

  // Queues a call; its `done` is invoked once on the loop's thread. Returns
  // false, without invoking `done`, if the queue is full or closed.
  // Thread-safe.
  [[nodiscard]] bool Submit(HttpCall call);

  // Totals since construction, for the state dump.
  std::uint64_t calls_sent() const { return calls_sent_; }
  std::uint64_t calls_failed() const { return calls_failed_; }
  std::uint64_t calls_over_budget() const { return calls_over_budget_; }

 private:
  struct Transfer;

  void Run();
  void Start(HttpCall call);
  void ReadFinished();
  void Finish(void* handle, int curl_code);
  bool TryConsumeBudget();

  const HttpLoopOptions options_;
  BoundedRing<HttpCall> ring_;
  // A CURLM handle; void* avoids including libcurl's header here.
  void* multi_ = nullptr;
  std::unordered_map<void*, std::unique_ptr<Transfer>> transfers_;
  double budget_ = 0;
  MonotonicTime budget_updated_;
  std::atomic<std::uint64_t> calls_sent_{0};
  std::atomic<std::uint64_t> calls_failed_{0};
  std::atomic<std::uint64_t> calls_over_budget_{0};
  std::thread thread_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_HTTP_CLIENT_HTTP_LOOP_H_
