#ifndef FLAMINGOGAUGE_PLUGINS_UPSTREAMS_ENGINE_POLLER_H_
#define FLAMINGOGAUGE_PLUGINS_UPSTREAMS_ENGINE_POLLER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/document/document.h"
#include "plugins/upstreams/simple_exchange.h"
#include "plugins/upstreams/upstream_call_base.h"

namespace flamingogauge {

// Polls the engines of the document for their load and cache events, one after
// another, so that the polls are spread evenly over the period.
class EnginePoller {
 public:
  explicit EnginePoller(CallContext& context) : context_(context) {}
  ~EnginePoller();
  EnginePoller(const EnginePoller&) = delete;
  EnginePoller& operator=(const EnginePoller&) = delete;

  // Polling starts when the first listener is added.
  void AddLoadListener(UpstreamClient::LoadListener listener);
  void AddCacheListener(UpstreamClient::CacheListener listener);

  // Replaces the set of polled engines by those of `document`.
  void SetDocument(const Document& document);

  std::size_t size() const { return engines_.size(); }

 private:
  struct Engine {
    UpstreamId id;
    std::string address;
    std::uint64_t last_sequence = 0;
    std::unique_ptr<SimpleExchange> exchange;
  };

  void ScheduleNext();
  void PollNext();
  void PollLoad(const std::shared_ptr<Engine>& engine);
  void PollCache(const std::shared_ptr<Engine>& engine);
  void Poll(const std::shared_ptr<Engine>& engine,
            const std::string& path,
            const std::function<void(const std::string&)>& on_success);
  void DeliverLoad(const Engine& engine, const std::string& body);
  void DeliverCache(Engine& engine, const std::string& body);

  CallContext& context_;
  std::vector<UpstreamClient::LoadListener> load_listeners_;
  std::vector<UpstreamClient::CacheListener> cache_listeners_;
  std::vector<std::shared_ptr<Engine>> engines_;
  std::size_t next_ = 0;
  std::optional<CurlLoop::TimerId> timer_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_UPSTREAMS_ENGINE_POLLER_H_
