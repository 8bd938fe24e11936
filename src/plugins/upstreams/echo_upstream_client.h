#ifndef FLAMINGOGAUGE_PLUGINS_UPSTREAMS_ECHO_UPSTREAM_CLIENT_H_
#define FLAMINGOGAUGE_PLUGINS_UPSTREAMS_ECHO_UPSTREAM_CLIENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <thread>

#include "libs/kernel/bounded_ring.h"
#include "libs/services/upstream_client.h"

namespace flamingogauge {

// Answers calls in this process, for tests without upstreams. A chat completion
// streams the words of its prompt, one event each; a service call returns a
// small JSON object.
class EchoUpstreamClient : public UpstreamClient {
 public:
  explicit EchoUpstreamClient(std::size_t max_calls);
  ~EchoUpstreamClient() override;
  EchoUpstreamClient(const EchoUpstreamClient&) = delete;
  EchoUpstreamClient& operator=(const EchoUpstreamClient&) = delete;

  void Start(UpstreamCall call,
             std::shared_ptr<UpstreamCallObserver> observer) override;
  // Calls complete immediately, so there is nothing to cancel or pause.
  void Cancel(RequestId /*id*/) override {}
  void SetPaused(RequestId /*id*/, bool /*paused*/) override {}
  // There are no engines, so the listeners are never called.
  void SubscribeLoad(LoadListener /*listener*/) override {}
  void SubscribeCache(CacheListener /*listener*/) override {}

 private:
  struct Job {
    UpstreamCall call;
    std::shared_ptr<UpstreamCallObserver> observer;
  };

  void Run();
  static void Answer(const Job& job);

  BoundedRing<Job> ring_;
  std::thread thread_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_UPSTREAMS_ECHO_UPSTREAM_CLIENT_H_
