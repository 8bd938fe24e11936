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

// Asks the engines of the document for their load and cache events, one after
// another so that the polls are spread evenly over the period.
class EnginePoller {
 public:
  explicit EnginePoller(CallHost& host) : host_(host) {}
  ~EnginePoller();
  EnginePoller(const EnginePoller&) = delete;
  EnginePoller& operator=(const EnginePoller&) = delete;

  // Nothing is polled before there is a listener.
  void AddLoadListener(UpstreamClient::LoadListener listener);
  void AddCacheListener(UpstreamClient::CacheListener listener);

  // Polls the engines of this document from now on.
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
  void Ask(const std::shared_ptr<Engine>& engine,
           const std::string& path,
           const std::function<void(const std::string&)>& use);
  void DeliverLoad(const Engine& engine, const std::string& body);
  void DeliverCache(Engine& engine, const std::string& body);

  CallHost& host_;
  std::vector<UpstreamClient::LoadListener> load_listeners_;
  std::vector<UpstreamClient::CacheListener> cache_listeners_;
  std::vector<std::shared_ptr<Engine>> engines_;
  std::size_t next_ = 0;
  std::optional<CurlLoop::TimerId> timer_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_UPSTREAMS_ENGINE_POLLER_H_
