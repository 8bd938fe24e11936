#ifndef FLAMINGOGAUGE_PLUGINS_UPSTREAMS_CURL_LOOP_H_
#define FLAMINGOGAUGE_PLUGINS_UPSTREAMS_CURL_LOOP_H_

#include <curl/curl.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <thread>
#include <utility>

#include "libs/kernel/time.h"

namespace flamingogauge {

class HttpTransfer;

// Event loop on a thread of its own that drives a libcurl multi handle and
// timers with epoll. Uses the curl_multi_socket_action interface, because
// curl_multi_perform iterates over every open transfer on each wake-up.
class CurlLoop {
 public:
  using TimerId = std::pair<MonotonicTime, std::uint64_t>;

  // Keeps at most `max_idle_connections` connections in the pool.
  explicit CurlLoop(std::size_t max_idle_connections);
  ~CurlLoop();
  CurlLoop(const CurlLoop&) = delete;
  CurlLoop& operator=(const CurlLoop&) = delete;

  // Starts the thread; `on_wake` runs on it after each Wake.
  void Start(std::function<void()> on_wake);

  // Stops the thread and joins it. Transfers must be destroyed afterwards.
  void Stop();

  // Makes the loop call `on_wake`. Thread-safe.
  void Wake();

  // The functions below must be called on the loop's thread.

  // Runs `task` on this thread at `time`.
  TimerId Schedule(MonotonicTime time, std::function<void()> task);
  void Unschedule(const TimerId& id);

  void Add(HttpTransfer& transfer);
  void Remove(HttpTransfer& transfer);

 private:
  static int OnSocket(CURL* easy,
                      curl_socket_t socket,
                      int what,
                      void* loop,
                      void* socket_data);
  static int OnTimer(CURLM* multi, long timeout_ms, void* loop);

  void Run();
  void WaitForEvents();
  // Returns nullopt when there is no timer to wait for.
  std::optional<std::chrono::nanoseconds> TimeToWait() const;
  void RunTimers();
  void FinishTransfers();

  CURLM* multi_ = nullptr;
  int epoll_fd_ = -1;
  int wake_fd_ = -1;
  std::atomic<bool> stopping_{false};
  // Saves the eventfd write when a wake-up is already pending.
  std::atomic<bool> wake_pending_{false};
  std::function<void()> on_wake_;
  std::optional<MonotonicTime> curl_deadline_;
  std::map<TimerId, std::function<void()>> timers_;
  std::uint64_t next_timer_ = 0;
  std::thread thread_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_UPSTREAMS_CURL_LOOP_H_
