#ifndef FLAMINGOGAUGE_TESTS_FAKES_FAKE_ENGINE_FAKE_ENGINE_STATE_H_
#define FLAMINGOGAUGE_TESTS_FAKES_FAKE_ENGINE_FAKE_ENGINE_STATE_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <vector>

#include "libs/kernel/time.h"

namespace flamingogauge {

struct FakeEngineOptions {
  // A rate of 0 means that the phase takes no time.
  double prefill_tokens_per_second = 0;
  double decode_tokens_per_second = 0;
  std::size_t max_concurrency = 64;
  // Response length for requests without max_tokens.
  std::size_t default_tokens = 16;
  std::uint64_t token_capacity = 262144;
  // Capacity of the prefix cache in blocks.
  std::size_t cache_blocks = 4096;
  // Value of age_ms in load reports.
  std::chrono::milliseconds load_lag{0};
};

// Injected faults; they apply until the next SetFaults().
struct FakeEngineFaults {
  // Reject each new request with 503 and X-Not-Executed.
  bool refuse = false;
  // Crash on a prompt that contains this text.
  std::string crash_on;
  // Factor by which prefill and decode are slowed down.
  double slowdown = 1.0;
  // Close the connection after sending this many events; 0 means never.
  std::size_t hang_up_after = 0;
  // End streams without the [DONE] event.
  bool omit_done = false;
};

// Writes the events of a stream to a connection.
class FakeStreamSink {
 public:
  virtual ~FakeStreamSink() = default;
  // Sends server-sent events; returns false if the connection is closed.
  virtual bool Send(std::string_view events) = 0;
  // Ends the response body.
  virtual void Finish() = 0;
  // Closes the connection after these events have been written.
  virtual void SendAndClose(std::string_view events) = 0;
  // Closes the connection immediately.
  virtual void CloseConnection() = 0;
};

// Streams, prefix cache and execution counts of the fake engine. One thread
// generates the tokens of all streams at the configured rates.
class FakeEngineState {
 public:
  enum class Admission { kAccepted, kRefused, kCrash, kInvalid };

  explicit FakeEngineState(FakeEngineOptions options);
  ~FakeEngineState();
  FakeEngineState(const FakeEngineState&) = delete;
  FakeEngineState& operator=(const FakeEngineState&) = delete;

  // Checks whether a new chat completion can run, without starting it.
  Admission Admit(std::string_view body);

  // Runs an admitted chat completion and sends its events to `sink`.
  void Execute(const std::string& id,
               std::string_view body,
               std::shared_ptr<FakeStreamSink> sink);

  // Continues a stream on another connection from an event offset. Returns
  // false if the stream is unknown or cancelled.
  bool Resume(const std::string& id,
              std::size_t offset,
              std::shared_ptr<FakeStreamSink> sink);
  bool IsKnown(const std::string& id) const;
  bool Cancel(const std::string& id);

  void SetFaults(const FakeEngineFaults& faults);
  FakeEngineFaults faults() const;
  // Stops sending on all streams that have a connection, without closing the
  // connections. Resuming a stream makes it send again.
  void SilenceOpenStreams();

  // Response bodies of GET /load, /cache/events and /executions.
  std::string LoadJson() const;
  std::string CacheEventsJson(std::uint64_t after) const;
  std::string ExecutionsJson() const;

 private:
  struct Stream {
    std::string id;
    std::uint64_t seed = 0;
    std::size_t prompt_tokens = 0;
    std::size_t cached_tokens = 0;
    // Number of events without [DONE]: one for each token and one for the
    // usage.
    std::size_t total = 0;
    MonotonicTime first_at;
    std::chrono::nanoseconds interval{0};
    std::size_t next_offset = 0;
    std::size_t sent_on_connection = 0;
    bool cancelled = false;
    bool running = true;
    bool silent = false;
    // Whether the stream is in `due_`.
    bool scheduled = false;
    std::shared_ptr<FakeStreamSink> sink;
  };
  struct CacheChange {
    std::uint64_t sequence = 0;
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> evicted;
  };
  using Due = std::pair<MonotonicTime, std::shared_ptr<Stream>>;
  struct LaterDue {
    bool operator()(const Due& a, const Due& b) const {
      return a.first > b.first;
    }
  };

  void Run();
  void AdvanceLocked(const std::shared_ptr<Stream>& stream, MonotonicTime now);
  std::size_t AvailableLocked(const Stream& stream, MonotonicTime now) const;
  std::string EventLocked(const Stream& stream, std::size_t offset) const;
  void EndLocked(Stream& stream);
  std::size_t CachePromptLocked(std::string_view text);
  void EvictFinishedStreamsLocked();

  const FakeEngineOptions options_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  FakeEngineFaults faults_;
  std::unordered_map<std::string, std::shared_ptr<Stream>> streams_;
  std::deque<std::string> finished_;
  std::priority_queue<Due, std::vector<Due>, LaterDue> due_;
  std::size_t running_ = 0;
  std::uint64_t tokens_in_memory_ = 0;
  std::deque<std::uint64_t> cached_order_;
  std::unordered_map<std::uint64_t, bool> cached_;
  std::deque<CacheChange> cache_changes_;
  std::uint64_t cache_sequence_ = 0;
  std::uint64_t executions_ = 0;
  std::uint64_t cancellations_ = 0;
  std::uint64_t resumes_ = 0;
  std::uint64_t refusals_ = 0;
  std::map<std::string, std::uint64_t> by_request_;
  std::map<std::string, std::uint64_t> by_fingerprint_;
  std::thread thread_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_FAKES_FAKE_ENGINE_FAKE_ENGINE_STATE_H_
