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

// Simulates hosts with independent clocks, message loss and delay, network
// partitions, restarts, and disagreement about the owner of the limit.
class LendingSimulation {
 public:
  explicit LendingSimulation(std::uint64_t seed, bool is_fault_free)
      : random_(seed), is_fault_free_(is_fault_free) {
    for (std::size_t it = 0; it < kHosts; ++it) {
      hosts_.push_back({.offset = seconds(random_.NextBelow(100000))});
      Start(it);
    }
  }

  void Run(milliseconds duration) {
    const milliseconds end = time_ + duration;
    for (; time_ < end; time_ += milliseconds(10)) {
      Deliver();
      if (!is_fault_free_ && random_.NextBool(0.002)) {
        Start(random_.NextBelow(kHosts));
      }
      if (!is_fault_free_ && random_.NextBool(0.005)) {
        partition_ = random_.NextBelow(1U << kHosts);
      }
      for (std::size_t it = 0; it < kHosts; ++it) {
        if (!is_fault_free_ && random_.NextBool(0.01)) {
          hosts_[it].owner = random_.NextBelow(kHosts);
        }
        if (!is_fault_free_ && random_.NextBool(0.01)) {
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

  // Drops all further messages of the host.
  void DropMessages(std::size_t host) { hosts_[host].drops_messages = true; }
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
    bool drops_messages = false;
    std::unique_ptr<SlotShare> share;
    std::unique_ptr<LimitOwner> limit;
  };
  struct Message {
    milliseconds due;
    std::size_t from;
    std::size_t to;
    // The receiving incarnation; the message is dropped if the host restarted.
    std::uint64_t incarnation;
    std::function<void()> handle;
  };

  MonotonicTime Now(std::size_t host) const {
    return MonotonicTime(time_ + hosts_[host].offset);
  }

  void Send(std::size_t from, std::size_t to, std::function<void()> handle) {
    const std::uint64_t longest =
        is_fault_free_ ? 5 : (random_.NextBool(0.8) ? 60 : 3000);
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
      const bool is_partitioned =
          ((partition_ >> it.from) & 1U) != ((partition_ >> it.to) & 1U);
      const bool is_lost = !is_fault_free_ && random_.NextBool(0.2);
      if (!is_partitioned && !is_lost && !hosts_[it.from].drops_messages &&
          hosts_[it.to].incarnation == it.incarnation) {
        it.handle();
      }
    }
  }

  void Poll(std::size_t host) {
    const std::size_t owner = hosts_[host].owner;
    // In runs with faults, hosts borrow and lend as much as possible, so that
    // the sum comes close to the limit.
    const BorrowRequest request = hosts_[host].share->Borrow(
        Now(host), is_fault_free_ ? hosts_[host].need : kLimit);
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
  bool is_fault_free_;
  milliseconds time_{0};
  std::vector<Host> hosts_;
  std::deque<Message> messages_;
  std::uint64_t partition_ = 0;
};

// Guards against allowances exceeding the limit in total under message loss,
// delay, partitions, restarts and several concurrent owners.
TEST_CASE("Allowances never exceed the limit") {
  double closest = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    LendingSimulation run(seed, false);
    run.Run(seconds(60));
    CHECK(run.highest_sum <= kLimit * (1 + 1e-9));
    closest = std::max(closest, run.highest_sum);
  }
  // The runs must come close to the limit for the check above to be meaningful.
  CHECK(closest > kLimit * 0.95);
}

// Guards against using a slot twice: by a borrower and by a lender that
// restarted or whose later messages are lost, through two owners, or by two
// successive borrowers.
TEST_CASE("Lent parts are used once") {
  enum class Fault { kRestarts, kSilentLenders, kTwoOwners, kTwoBorrowers };
  for (const Fault fault : {Fault::kRestarts, Fault::kSilentLenders,
                            Fault::kTwoOwners, Fault::kTwoBorrowers}) {
    CAPTURE(static_cast<int>(fault));
    LendingSimulation run(11, true);
    run.SetNeed(3, kLimit);
    run.Run(seconds(10));
    CHECK(run.highest_sum > kLimit * 0.95);
    for (std::size_t round = 0; round < 12; ++round) {
      const std::size_t host = round % 3 == 0 ? 0 : round % 3 + 3;
      if (fault == Fault::kRestarts) {
        run.Start(host);
      } else if (fault == Fault::kSilentLenders) {
        run.DropMessages(round % 2 + 4);
      } else if (fault == Fault::kTwoOwners) {
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

// Guards against keeping the limit only by never lending anything.
TEST_CASE("A busy host borrows from idle ones") {
  LendingSimulation run(7, true);
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

// Guards against spending more than the rate over time.
TEST_CASE("RateBucket spends at most the rate and one second's credits") {
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
