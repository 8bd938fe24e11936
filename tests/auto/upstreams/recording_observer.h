#ifndef FLAMINGOGAUGE_TESTS_AUTO_UPSTREAMS_RECORDING_OBSERVER_H_
#define FLAMINGOGAUGE_TESTS_AUTO_UPSTREAMS_RECORDING_OBSERVER_H_

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libs/services/upstream_client.h"

namespace flamingogauge {

// The notifications that an observer has received.
struct CallRecord {
  int sendings = 0;
  int heads = 0;
  int status = 0;
  int ends = 0;
  bool complete = false;
  std::vector<std::string> data;
  std::optional<Error> error;
  ExecutionKnowledge knowledge = ExecutionKnowledge::kMaybeExecuted;
};

class RecordingObserver : public UpstreamCallObserver {
 public:
  explicit RecordingObserver(bool may_send = true) : may_send_(may_send) {}

  bool OnSending() override {
    Change([](CallRecord& it) { ++it.sendings; });
    return may_send_;
  }
  void OnHead(int status, std::vector<HttpHeader> /*headers*/) override {
    Change([status](CallRecord& it) {
      ++it.heads;
      it.status = status;
    });
  }
  void OnData(std::string data) override {
    Change([&data](CallRecord& it) { it.data.push_back(std::move(data)); });
  }
  void OnComplete() override {
    Change([](CallRecord& it) {
      ++it.ends;
      it.complete = true;
    });
  }
  void OnFailed(Error error, ExecutionKnowledge knowledge) override {
    Change([&error, knowledge](CallRecord& it) {
      ++it.ends;
      it.error = std::move(error);
      it.knowledge = knowledge;
    });
  }

  // Waits up to 20 s until `condition` holds; returns the record.
  CallRecord WaitFor(
      const std::function<bool(const CallRecord&)>& condition) const {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait_for(lock, std::chrono::seconds(20),
                      [&] { return condition(record_); });
    return record_;
  }
  CallRecord WaitForEnd() const {
    return WaitFor([](const CallRecord& it) { return it.ends > 0; });
  }

 private:
  void Change(const std::function<void(CallRecord&)>& change) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      change(record_);
    }
    changed_.notify_all();
  }

  const bool may_send_;
  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  CallRecord record_;
};

// Waits up to 20 s until `condition` holds; returns whether it does.
inline bool WaitUntil(const std::function<bool()>& condition) {
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(20);
  std::mutex mutex;
  std::condition_variable never;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::unique_lock<std::mutex> lock(mutex);
    never.wait_for(lock, std::chrono::milliseconds(2));
  }
  return true;
}

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_AUTO_UPSTREAMS_RECORDING_OBSERVER_H_
