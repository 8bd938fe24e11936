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

// How an HTTP call ended.
struct HttpOutcome {
  // The status of the answer; 0 when there was no whole answer.
  int status = 0;
  std::string body;
  // Why there was no answer.
  std::string failure;
  bool timed_out = false;
  // True when the server may have received the whole request.
  bool maybe_received = false;
  // True when the call budget was spent and nothing was sent.
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
};

// Performs HTTP calls to one server on one thread with libcurl. Connections
// are kept open and reused.
class HttpLoop {
 public:
  explicit HttpLoop(HttpLoopOptions options);
  HttpLoop(const HttpLoop&) = delete;
  HttpLoop& operator=(const HttpLoop&) = delete;

  // Ends the calls in flight as failed and joins the thread.
  ~HttpLoop();

  // Queues a call; its `done` runs once on the loop's thread. Returns false
  // when the queue is full. Safe from any thread.
  [[nodiscard]] bool Submit(HttpCall call);

  // Counters since the start, for the state dump.
  std::uint64_t calls_sent() const { return calls_sent_; }
  std::uint64_t calls_failed() const { return calls_failed_; }
  std::uint64_t calls_over_budget() const { return calls_over_budget_; }

 private:
  struct Transfer;

  void Run();
  void Start(HttpCall call);
  void ReadFinished();
  void Finish(void* handle, int curl_code);
  bool TakeFromBudget();

  const HttpLoopOptions options_;
  BoundedRing<HttpCall> ring_;
  // A CURLM handle; libcurl's header stays out of this one.
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
