#ifndef FLAMINGOGAUGE_PLUGINS_UPSTREAMS_CURL_UPSTREAM_CLIENT_H_
#define FLAMINGOGAUGE_PLUGINS_UPSTREAMS_CURL_UPSTREAM_CLIENT_H_

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "libs/document/document.h"
#include "libs/kernel/bounded_ring.h"
#include "plugins/upstreams/engine_canceller.h"
#include "plugins/upstreams/engine_poller.h"
#include "plugins/upstreams/upstream_call_base.h"

namespace flamingogauge {

// Calls upstreams over HTTP on one event-loop thread. When the command queue is
// full or the client is draining, Start calls OnFailed on the calling thread.
class CurlUpstreamClient : public UpstreamClient, public CallContext {
 public:
  // `seed` initializes the random generator for the jitter of delays.
  CurlUpstreamClient(const UpstreamsSettings& settings, std::uint64_t seed);
  // Aborts the calls in flight without notifying their observers.
  ~CurlUpstreamClient() override;
  CurlUpstreamClient(const CurlUpstreamClient&) = delete;
  CurlUpstreamClient& operator=(const CurlUpstreamClient&) = delete;

  void Start(UpstreamCall call,
             std::shared_ptr<UpstreamCallObserver> observer) override;
  void Cancel(RequestId id) override;
  void SetPaused(RequestId id, bool paused) override;
  void SubscribeLoad(LoadListener listener) override;
  void SubscribeCache(CacheListener listener) override;

  // Replaces the set of polled engines by those of `document`. Thread-safe.
  void SetDocument(std::shared_ptr<const Document> document);

  // Rejects new calls and invokes `done` on the client's thread once all calls
  // have ended.
  void Drain(std::function<void()> done);

  // Returns the counters and the calls in flight as a JSON object.
  std::string DumpState() const;

  // CallContext implementation; used on the loop's thread.
  CurlLoop& loop() override { return loop_; }
  const UpstreamsSettings& settings() const override { return settings_; }
  CallCounters& counters() override { return counters_; }
  Random& random() override { return random_; }
  void OnCallEnded(const RequestId& id) override;
  void CancelAtEngine(const std::string& address,
                      const std::string& stream,
                      bool may_arrive_later) override;
  void OnInactivity(const std::string& address) override;
  bool RequiresFreshConnection(const std::string& address) const override;

 private:
  struct StartCommand {
    UpstreamCall call;
    std::shared_ptr<UpstreamCallObserver> observer;
  };
  struct CancelCommand {
    RequestId id;
  };
  struct PauseCommand {
    RequestId id;
    bool paused = false;
  };
  struct SubscribeCommand {
    LoadListener load;
    CacheListener cache;
  };
  struct DrainCommand {
    std::function<void()> done;
  };
  struct DumpCommand {
    std::shared_ptr<std::promise<std::string>> promise;
  };
  using Command = std::variant<StartCommand,
                               CancelCommand,
                               PauseCommand,
                               SubscribeCommand,
                               DrainCommand,
                               DumpCommand>;

  bool Push(Command command) const;
  void OnWake();
  void Handle(StartCommand command);
  void Handle(const CancelCommand& command);
  void Handle(const PauseCommand& command);
  void Handle(SubscribeCommand command);
  void Handle(DrainCommand command);
  void Handle(const DumpCommand& command);
  void DestroyEndedCalls();
  void FinishDrainIfIdle();
  std::string DumpOnLoop() const;

  const UpstreamsSettings settings_;
  // Mutable, because DumpState() const posts a command to the loop as well.
  mutable BoundedRing<Command> ring_;
  mutable CurlLoop loop_;
  std::atomic<bool> draining_{false};
  std::atomic<std::uint64_t> commands_dropped_{0};
  std::mutex document_mutex_;
  std::shared_ptr<const Document> new_document_;

  // The members below are accessed only on the loop's thread.
  Random random_;
  CallCounters counters_;
  std::unordered_map<RequestId, std::unique_ptr<UpstreamCallBase>> calls_;
  std::vector<RequestId> ended_;
  // Addresses with a recent inactivity timeout, and the time until which their
  // pooled connections are not reused.
  std::unordered_map<std::string, MonotonicTime> stalled_addresses_;
  EngineCanceller canceller_;
  EnginePoller poller_;
  std::vector<std::function<void()>> drained_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_UPSTREAMS_CURL_UPSTREAM_CLIENT_H_
