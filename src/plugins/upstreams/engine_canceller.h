#ifndef FLAMINGOGAUGE_PLUGINS_UPSTREAMS_ENGINE_CANCELLER_H_
#define FLAMINGOGAUGE_PLUGINS_UPSTREAMS_ENGINE_CANCELLER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "plugins/upstreams/call_counters.h"
#include "plugins/upstreams/simple_exchange.h"

namespace flamingogauge {

// Cancels abandoned streams at their engines. Closing the connection is not
// enough, because an engine keeps a disconnected stream for a resume.
class EngineCanceller {
 public:
  // Limit of concurrent cancels. Further cancels are dropped and counted; the
  // engine then runs the stream to its end.
  static constexpr std::size_t kMaxCancels = 512;

  EngineCanceller(CurlLoop& loop, CallCounters& counters)
      : loop_(loop), counters_(counters) {}

  // Sends a cancel, with up to three attempts. With `may_arrive_later`, a 404
  // response is retried too, because the request that starts the stream may
  // still be in flight.
  void Cancel(const std::string& address,
              const std::string& stream,
              bool may_arrive_later);

  std::size_t size() const { return jobs_.size(); }
  void Clear() { jobs_.clear(); }

 private:
  struct Job {
    std::string address;
    std::string stream;
    bool may_arrive_later = false;
    int attempts = 0;
    std::unique_ptr<SimpleExchange> exchange;
  };

  void Send(std::uint64_t number);
  void OnOutcome(std::uint64_t number, const SimpleExchange::Outcome& outcome);

  CurlLoop& loop_;
  CallCounters& counters_;
  std::uint64_t next_number_ = 0;
  std::unordered_map<std::uint64_t, Job> jobs_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_UPSTREAMS_ENGINE_CANCELLER_H_
