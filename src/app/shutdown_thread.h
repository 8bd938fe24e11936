#ifndef FLAMINGOGAUGE_APP_SHUTDOWN_THREAD_H_
#define FLAMINGOGAUGE_APP_SHUTDOWN_THREAD_H_

#include <atomic>
#include <chrono>
#include <thread>

#include "libs/kernel/plugin_manager.h"

namespace flamingogauge {

// Shuts the plugins down in a thread of its own, so that the main thread keeps
// receiving signals.
class ShutdownThread {
 public:
  explicit ShutdownThread(PluginManager& manager) : manager_(manager) {}
  ShutdownThread(const ShutdownThread&) = delete;
  ShutdownThread& operator=(const ShutdownThread&) = delete;
  ~ShutdownThread() {
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  void Start(std::chrono::milliseconds time_limit) {
    thread_ = std::thread([this, time_limit] {
      is_complete_ = manager_.Shutdown(time_limit);
      is_done_ = true;
    });
  }

  bool is_done() const { return is_done_; }
  // False if the time limit passed first. Valid once it is done.
  bool is_complete() const { return is_complete_; }

 private:
  PluginManager& manager_;
  std::thread thread_;
  bool is_complete_ = false;
  std::atomic<bool> is_done_ = false;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_APP_SHUTDOWN_THREAD_H_
