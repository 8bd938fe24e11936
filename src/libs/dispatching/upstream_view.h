#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_UPSTREAM_VIEW_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_UPSTREAM_VIEW_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <unordered_map>

#include "libs/dispatching/waiting_request.h"
#include "libs/fleet/upstream_entry.h"
#include "libs/kernel/time.h"

namespace flamingogauge {

// How a request that was sent to an upstream ended.
enum class DispatchResult {
  kServed,
  // The upstream answered that it did not run the request.
  kRefused,
  // The upstream answered with a failure of its own.
  kFailed,
  // No connection, a reset, silence or bytes that are no answer.
  kTransportError,
  // Another process answered at the upstream's address.
  kReplaced,
  // The caller left or the time was over; says nothing of the upstream.
  kAbandoned,
};

// What the end of a request changes in what a host believes of an upstream.
enum class HealthChange {
  kNone,
  // It broke a request and is avoided for a while.
  kSuspected,
  // It served a request after it had been suspected.
  kRecovered,
  // Another process answers at its address.
  kReplaced,
};

// What one host knows of one upstream: its entry, what runs there, and how it
// has answered.
class UpstreamView {
 public:
  explicit UpstreamView(UpstreamEntry entry) : entry_(std::move(entry)) {}

  const UpstreamEntry& entry() const { return entry_; }
  // Takes a new entry of the same process.
  void SetEntry(UpstreamEntry entry) { entry_ = std::move(entry); }

  // The requests that may run there at once, over all hosts. An upstream that
  // broke requests is tried with a single one; a replaced one gets none.
  int Limit() const;

  // Requests that this host and, as far as is known, other hosts have there.
  int running() const { return own_running_ + peer_running_; }
  int own_running() const { return own_running_; }
  void SetPeerRunning(int running) { peer_running_ = running; }

  void OnSent(const WaitingRequest& request, MonotonicTime now);
  HealthChange OnEnded(DispatchResult result, MonotonicTime now);
  // `pace` is the time between two events of a stream, or of a whole answer of
  // a plain service.
  void OnEventInterval(std::chrono::duration<double> pace);

  // Tokens of the prompt that the upstream has probably in its cache.
  double CachedTokens(const WaitingRequest& request, MonotonicTime now) const;

  // The share of recent requests that the upstream broke or failed, 0 to 1.
  double FailureShare(MonotonicTime now) const;
  // True while the upstream is avoided after broken requests in a row.
  bool IsSuspect(MonotonicTime now) const { return now < suspect_until_; }
  // How much longer it is avoided; zero when it is not suspect.
  Duration RemainingSuspicion(MonotonicTime now) const {
    return IsSuspect(now) ? suspect_until_ - now : Duration::zero();
  }
  // Exponentially weighted; 0 while nothing was measured.
  double event_interval_seconds() const { return event_interval_seconds_; }

 private:
  void ForgetOldParts(MonotonicTime now);

  UpstreamEntry entry_;
  int own_running_ = 0;
  int peer_running_ = 0;
  int broken_in_a_row_ = 0;
  bool replaced_ = false;
  double failure_share_ = 0;
  MonotonicTime failure_updated_;
  MonotonicTime suspect_until_;
  double event_interval_seconds_ = 0;
  std::unordered_map<std::uint64_t, MonotonicTime> parts_seen_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_UPSTREAM_VIEW_H_
