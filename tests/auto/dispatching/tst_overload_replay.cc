#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libs/dispatching/dispatcher.h"
#include "libs/kernel/random.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};
constexpr milliseconds kStep{5};
constexpr milliseconds kTarget{1000};
// Callers disconnect if a stream has not begun after this time.
constexpr milliseconds kCallerWait{4000};
constexpr int kUpstreams = 6;
constexpr int kSlots = 8;
constexpr milliseconds kServiceTime{1000};
// From the placement to the first event.
constexpr milliseconds kFirstEventTime{150};
// Requests per second that the upstreams can serve.
constexpr double kCapacity = kUpstreams * kSlots;

struct Outcome {
  int on_time = 0;
  int late = 0;
  // Callers that disconnected while their request waited.
  int left = 0;
  int refused = 0;
  // Total time that refused requests had waited.
  std::chrono::duration<double> refused_wait{0};
  int arrivals = 0;
};

// Simulates a three-second burst of `factor` times the capacity, before and
// after which the load is half the capacity.
class BurstReplay {
 public:
  BurstReplay(double factor, std::uint64_t seed, bool refuses)
      : factor_(factor),
        refuses_(refuses),
        random_(seed),
        dispatcher_({.data_centre = "d", .regions = {}, .seed = seed}) {
    std::vector<UpstreamEntry> upstreams;
    for (int n = 0; n < kUpstreams; ++n) {
      upstreams.push_back({.id = "u" + std::to_string(n),
                           .service = "s",
                           .data_centre = "d",
                           .slots = kSlots});
    }
    dispatcher_.SetUpstreams(upstreams, kStart);
  }

  Outcome Run() {
    for (now_ = kStart; now_ < kStart + seconds(12); now_ += kStep) {
      EndServed();
      Arrive();
      Place();
    }
    return outcome_;
  }

 private:
  double Rate() const {
    const Duration elapsed = now_ - kStart;
    const bool in_burst = elapsed >= seconds(3) && elapsed < seconds(6);
    return elapsed > seconds(8) ? 0 : kCapacity * (in_burst ? factor_ : 0.5);
  }

  void Arrive() {
    if (!random_.NextBool(Rate() *
                          std::chrono::duration<double>(kStep).count())) {
      return;
    }
    ++outcome_.arrivals;
    const std::uint64_t id = ++last_id_;
    WaitingRequest request{.id = id,
                           .service = "s",
                           .arrived_at = now_,
                           .due_at = now_ + kTarget,
                           .start_by = now_ + kCallerWait,
                           .deadline = now_ + seconds(15)};
    waiting_[id] = request;
    dispatcher_.Enqueue(request);
  }

  void EndServed() {
    std::erase_if(running_, [this](const auto& it) {
      if (it.first > now_) {
        return false;
      }
      dispatcher_.OnEnded(it.second, DispatchResult::kServed, now_);
      return true;
    });
    std::erase_if(waiting_, [this](const auto& it) {
      if (it.second.start_by > now_) {
        return false;
      }
      dispatcher_.Remove(it.first);
      ++outcome_.left;
      return true;
    });
  }

  void Place() {
    for (const Placement& it : dispatcher_.Place(now_)) {
      const WaitingRequest& request = waiting_.at(it.request);
      ++(now_ + kFirstEventTime <= request.due_at ? outcome_.on_time
                                                  : outcome_.late);
      running_.emplace_back(now_ + kServiceTime, it.upstream.id);
      waiting_.erase(it.request);
    }
    if (!refuses_) {
      return;
    }
    for (const Rejection& it : dispatcher_.Reject(now_)) {
      outcome_.refused_wait += now_ - waiting_.at(it.request).arrived_at;
      ++outcome_.refused;
      waiting_.erase(it.request);
    }
  }

  const double factor_;
  const bool refuses_;
  Random random_;
  Dispatcher dispatcher_;
  MonotonicTime now_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, WaitingRequest> waiting_;
  std::vector<std::pair<MonotonicTime, std::string>> running_;
  Outcome outcome_;
};

// Guards against callers waiting for nothing during a burst: requests that
// cannot be served in time must be refused early, without reducing the number
// served on time.
TEST_CASE(
    "excess requests of a burst are refused early at no loss of goodput") {
  for (const double factor : {1.5, 2.0, 3.0}) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      CAPTURE(factor);
      CAPTURE(seed);
      const Outcome waiting = BurstReplay(factor, seed, false).Run();
      const Outcome refusing = BurstReplay(factor, seed, true).Run();
      CHECK(refusing.on_time >= waiting.on_time);
      CHECK(refusing.left == 0);
      REQUIRE(refusing.refused > 0);
      // On average, requests are refused within an eighth of the target
      // latency.
      CHECK(refusing.refused_wait.count() / refusing.refused <
            std::chrono::duration<double>(kTarget).count() / 8);
    }
  }
}

// Guards against refusals while there is spare capacity.
TEST_CASE("below capacity nothing is refused") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const Outcome outcome = BurstReplay(0.9, seed, true).Run();
    CHECK(outcome.refused == 0);
    CHECK(outcome.left == 0);
    CHECK(outcome.on_time == outcome.arrivals);
  }
}

}  // namespace
}  // namespace flamingogauge
