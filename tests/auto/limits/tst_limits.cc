#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "libs/kernel/random.h"
#include "libs/limits/limit_owner.h"
#include "libs/limits/rate_bucket.h"
#include "libs/limits/slot_share.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kLimit = 120;
constexpr std::size_t kHosts = 6;

// Hosts in virtual time with own clocks, lossy and slow messages, splits,
// restarts, and different beliefs about who owns the limit.
class LendingRun {
 public:
  explicit LendingRun(std::uint64_t seed, bool is_calm)
      : random_(seed), is_calm_(is_calm) {
    for (std::size_t it = 0; it < kHosts; ++it) {
      hosts_.push_back({.offset = seconds(random_.NextBelow(100000))});
      Start(it);
    }
  }

  void Run(milliseconds duration) {
    const milliseconds end = time_ + duration;
    for (; time_ < end; time_ += milliseconds(10)) {
      Deliver();
      if (!is_calm_ && random_.NextBool(0.002)) {
        Start(random_.NextBelow(kHosts));
      }
      if (!is_calm_ && random_.NextBool(0.005)) {
        split_ = random_.NextBelow(1U << kHosts);
      }
      for (std::size_t it = 0; it < kHosts; ++it) {
        if (!is_calm_ && random_.NextBool(0.01)) {
          hosts_[it].owner = random_.NextBelow(kHosts);
        }
        if (!is_calm_ && random_.NextBool(0.01)) {
          hosts_[it].need = random_.NextBool(0.7) ? 0 : kLimit;
        }
        if (random_.NextBool(0.1)) {
          Poll(it);
        }
      }
      double sum = 0;
      for (std::size_t it = 0; it < kHosts; ++it) {
        sum += hosts_[it].share->Allowance(Now(it));
      }
      highest_sum = std::max(highest_sum, sum);
    }
  }

  void Start(std::size_t host) {
    Host& it = hosts_[host];
    it.incarnation = random_.Next();
    it.share = std::make_unique<SlotShare>(kLimit / kHosts, Now(host));
    it.limit = std::make_unique<LimitOwner>(Incarnation{.low = it.incarnation});
  }

  // Messages of the host are lost from now on.
  void SetMuted(std::size_t host) { hosts_[host].is_muted = true; }
  void SetOwner(std::size_t host, std::size_t owner) {
    hosts_[host].owner = owner;
  }
  void SetNeed(std::size_t host, double need) { hosts_[host].need = need; }
  double Allowance(std::size_t host) const {
    return hosts_[host].share->Allowance(Now(host));
  }

  double highest_sum = 0;

 private:
  struct Host {
    milliseconds offset{0};
    std::size_t owner = 0;
    double need = 0;
    std::uint64_t incarnation = 0;
    bool is_muted = false;
    std::unique_ptr<SlotShare> share;
    std::unique_ptr<LimitOwner> limit;
  };
  struct Message {
    milliseconds due;
    std::size_t from;
    std::size_t to;
    // The incarnation that the message is for; a restart drops it.
    std::uint64_t incarnation;
    std::function<void()> handle;
  };

  MonotonicTime Now(std::size_t host) const {
    return MonotonicTime(time_ + hosts_[host].offset);
  }

  void Send(std::size_t from, std::size_t to, std::function<void()> handle) {
    const std::uint64_t longest =
        is_calm_ ? 5 : (random_.NextBool(0.8) ? 60 : 3000);
    messages_.push_back({time_ + milliseconds(random_.NextBelow(longest)), from,
                         to, hosts_[to].incarnation, std::move(handle)});
  }

  void Deliver() {
    std::deque<Message> later;
    std::deque<Message> due;
    for (Message& it : messages_) {
      (it.due <= time_ ? due : later).push_back(std::move(it));
    }
    messages_ = std::move(later);
    for (const Message& it : due) {
      const bool is_cut =
          ((split_ >> it.from) & 1U) != ((split_ >> it.to) & 1U);
      const bool is_lost = !is_calm_ && random_.NextBool(0.2);
      if (!is_cut && !is_lost && !hosts_[it.from].is_muted &&
          hosts_[it.to].incarnation == it.incarnation) {
        it.handle();
      }
    }
  }

  void Poll(std::size_t host) {
    const std::size_t owner = hosts_[host].owner;
    // In wild runs hosts ask for all they can get and lend what they can, so
    // that the sum comes close to the limit.
    const BorrowRequest request = hosts_[host].share->Borrow(
        Now(host), is_calm_ ? hosts_[host].need : kLimit);
    const std::string name = std::to_string(host);
    Send(host, owner, [this, host, owner, request, name] {
      const Loan loan = hosts_[owner].limit->Lend(Now(owner), name, request);
      Send(owner, host,
           [this, host, loan] { hosts_[host].share->OnLoan(Now(host), loan); });
      const LendingQuery ask = hosts_[owner].limit->Ask(Now(owner));
      Send(owner, host, [this, host, owner, ask, name] {
        const LendingConsent consent =
            hosts_[host].share->Consent(Now(host), ask, hosts_[host].need);
        Send(host, owner, [this, owner, consent, name] {
          hosts_[owner].limit->OnConsent(Now(owner), name, consent);
        });
      });
    });
  }

  Random random_;
  bool is_calm_;
  milliseconds time_{0};
  std::vector<Host> hosts_;
  std::deque<Message> messages_;
  std::uint64_t split_ = 0;
};

// Guards against allowances that together exceed the limit under loss, delay,
// splits, restarts and several owners at once.
TEST_CASE("Allowances never exceed the limit") {
  double closest = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    LendingRun run(seed, false);
    run.Run(seconds(60));
    CHECK(run.highest_sum <= kLimit * (1 + 1e-9));
    closest = std::max(closest, run.highest_sum);
  }
  // The runs came close to the limit.
  CHECK(closest > kLimit * 0.95);
}

// Guards against a slot that is used twice: by a borrower and by a lender that
// restarted or whose later messages are lost, through two owners, or by two
// borrowers one after the other.
TEST_CASE("Lent parts are used once") {
  enum class Trouble { kRestarts, kMutedLenders, kTwoOwners, kTwoBorrowers };
  for (const Trouble trouble : {Trouble::kRestarts, Trouble::kMutedLenders,
                                Trouble::kTwoOwners, Trouble::kTwoBorrowers}) {
    CAPTURE(static_cast<int>(trouble));
    LendingRun run(11, true);
    run.SetNeed(3, kLimit);
    run.Run(seconds(10));
    CHECK(run.highest_sum > kLimit * 0.95);
    for (std::size_t round = 0; round < 12; ++round) {
      const std::size_t host = round % 3 == 0 ? 0 : round % 3 + 3;
      if (trouble == Trouble::kRestarts) {
        run.Start(host);
      } else if (trouble == Trouble::kMutedLenders) {
        run.SetMuted(round % 2 + 4);
      } else if (trouble == Trouble::kTwoOwners) {
        run.SetNeed(4, kLimit);
        run.SetOwner(4, 1);
        run.SetOwner(5, round % 2);
        run.SetOwner(2, round % 2);
      } else {
        run.SetNeed(3, round % 2 == 0 ? 0 : kLimit);
        run.SetNeed(4, round % 2 == 0 ? kLimit : 0);
      }
      run.Run(milliseconds(700));
    }
    run.Run(seconds(5));
    CHECK(run.highest_sum <= kLimit * (1 + 1e-9));
  }
}

// Guards against a scheme that is safe only because nothing is ever lent.
TEST_CASE("A busy host borrows from idle ones") {
  LendingRun run(7, true);
  run.SetNeed(3, kLimit);
  run.Run(seconds(10));
  const double all_but_floors =
      kLimit / kHosts + (kHosts - 1) * kLimit / kHosts * (1 - kLendingFloor);
  CHECK(run.Allowance(3) == doctest::Approx(all_but_floors).epsilon(0.01));
  CHECK(run.Allowance(0) ==
        doctest::Approx(kLimit / kHosts * kLendingFloor).epsilon(0.01));
  run.SetNeed(3, 0);
  run.SetNeed(0, kLimit / kHosts);
  run.Run(seconds(10));
  CHECK(run.Allowance(0) >= kLimit / kHosts * 0.99);
}

// Guards against a rate above the allowance over time.
TEST_CASE("RateBucket spends at most the rate and a second's savings") {
  RateBucket bucket;
  int spent = 0;
  for (int it = 0; it < 1000; ++it) {
    bucket.Refill(MonotonicTime(milliseconds(10) * it), 50);
    spent += bucket.TrySpend(1) ? 1 : 0;
  }
  CHECK(spent <= 50 * 11);
  CHECK(spent >= 50 * 10);
}

}  // namespace
}  // namespace flamingogauge
