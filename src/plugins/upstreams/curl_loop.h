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

// One thread that drives a libcurl multi handle and timers over epoll. The
// socket interface of libcurl is used because curl_multi_perform visits every
// open transfer on each wake-up.
class CurlLoop {
 public:
  using TimerId = std::pair<MonotonicTime, std::uint64_t>;

  // Keeps at most `max_idle_connections` connections open for later use.
  explicit CurlLoop(std::size_t max_idle_connections);
  ~CurlLoop();
  CurlLoop(const CurlLoop&) = delete;
  CurlLoop& operator=(const CurlLoop&) = delete;

  // Starts the thread; `on_wake` runs on it after each Wake.
  void Start(std::function<void()> on_wake);

  // Ends the thread and waits for it. Transfers must be destroyed afterwards.
  void Stop();

  // Runs `on_wake` soon. Safe from any thread.
  void Wake();

  // All functions below are for the loop's thread only.

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
  // Nothing means that only an event ends the wait.
  std::optional<std::chrono::nanoseconds> TimeToWait() const;
  void RunTimers();
  void FinishTransfers();

  CURLM* multi_ = nullptr;
  int epoll_fd_ = -1;
  int wake_fd_ = -1;
  std::atomic<bool> stopping_{false};
  // Avoids a system call for each command while the thread is busy.
  std::atomic<bool> wake_pending_{false};
  std::function<void()> on_wake_;
  std::optional<MonotonicTime> curl_deadline_;
  std::map<TimerId, std::function<void()>> timers_;
  std::uint64_t next_timer_ = 0;
  std::thread thread_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_UPSTREAMS_CURL_LOOP_H_
