// Measures in virtual time how long a group waits for its new scheduler's first
// grant after the old one died, with rounds that end when all expected members
// have answered and with rounds that always last their time limit.
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <string>
#include <vector>

#include "libs/membership/round.h"
#include "libs/model/rendezvous.h"
#include "tests/auto/membership/membership_network.h"

DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(seeds, 100, "number of seeds");
DEFINE_uint64(hosts, 28, "hosts of the data centre");
DEFINE_double(mute, 0.0, "probability that one more host has just died");

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr char kGroup[] = "group";
constexpr std::chrono::microseconds kReportDelay{300};

struct Takeover {
  // From the death of the old scheduler to the start of the round.
  milliseconds detection{0};
  // From the start of the round to the first grant.
  std::chrono::microseconds round{0};
  bool all_answered = false;
};

std::vector<HostId> AliveHosts(const Membership& membership) {
  std::vector<HostId> alive;
  const auto members = membership.view();
  for (const Member& it : *members) {
    if (it.state == MemberState::kAlive) {
      alive.push_back(it.host);
    }
  }
  return alive;
}

std::size_t FindHost(MembershipNetwork& network, const HostId& id) {
  std::size_t n = 0;
  while (network.host(n).self.host != id) {
    ++n;
  }
  return n;
}

// Every host re-reports to the scheduler of its view once, when that changes.
class TakeoverRun {
 public:
  TakeoverRun(std::uint64_t seed, bool ends_early)
      : network_(seed), ends_early_(ends_early) {}

  Takeover Run() {
    for (std::size_t n = 0; n < FLAGS_hosts; ++n) {
      network_.AddHost("dc0", "region0");
    }
    for (std::size_t n = 0; n < FLAGS_hosts; ++n) {
      network_.Start(n);
    }
    network_.RunFor(std::chrono::seconds(10));
    const std::size_t old = FindHost(
        network_,
        RendezvousFirst(kGroup, AliveHosts(*network_.host(0).membership)));
    // The death falls at a random moment between heartbeats.
    network_.RunFor(milliseconds(network_.random().NextBelow(500)));
    const MonotonicTime died = network_.now();
    old_ = network_.host(old).self.host;
    network_.Stop(old);
    if (network_.random().NextBool(FLAGS_mute)) {
      network_.Stop((old + 1) % network_.size());
    }
    reported_.assign(network_.size(), false);
    Takeover takeover;
    while (!round_ || round_->Update(network_.now()) == RoundState::kOpen) {
      network_.RunFor(milliseconds(1));
      Step();
    }
    takeover.all_answered =
        round_->Update(network_.now()) == RoundState::kAllAnswered;
    takeover.detection =
        std::chrono::duration_cast<milliseconds>(round_start_ - died);
    takeover.round = std::chrono::duration_cast<std::chrono::microseconds>(
        network_.now() - round_start_);
    return takeover;
  }

 private:
  void Step() {
    for (std::size_t n = 0; n < network_.size(); ++n) {
      const MembershipNetwork::Host& host = network_.host(n);
      if (!host.membership || reported_[n]) {
        continue;
      }
      const std::vector<HostId> alive = AliveHosts(*host.membership);
      const HostId scheduler = RendezvousFirst(kGroup, alive);
      if (scheduler == old_) {
        continue;
      }
      reported_[n] = true;
      reports_.push_back({network_.now() + kReportDelay, host.self.host});
      if (scheduler == host.self.host) {
        round_start_ = network_.now();
        round_.emplace(alive,
                       Round::Options{.time_limit = milliseconds(500),
                                      .ends_when_all_answered = ends_early_},
                       network_.now());
      }
    }
    for (const Report& it : reports_) {
      if (round_ && it.at <= network_.now()) {
        round_->OnAnswer(it.from);
      }
    }
  }

  struct Report {
    MonotonicTime at;
    HostId from;
  };

  MembershipNetwork network_;
  bool ends_early_;
  HostId old_;
  std::vector<bool> reported_;
  std::vector<Report> reports_;
  std::optional<Round> round_;
  MonotonicTime round_start_;
};

void Print(const char* name, std::vector<Takeover> runs) {
  std::sort(runs.begin(), runs.end(), [](const Takeover& a, const Takeover& b) {
    return a.round < b.round;
  });
  const auto complete =
      std::count_if(runs.begin(), runs.end(),
                    [](const Takeover& it) { return it.all_answered; });
  milliseconds detection{0};
  for (const Takeover& it : runs) {
    detection += it.detection;
  }
  const auto at = [&runs](double share) {
    const auto n = static_cast<double>(runs.size() - 1) * share;
    return static_cast<double>(
               runs[static_cast<std::size_t>(n)].round.count()) /
           1000.0;
  };
  std::printf(
      "%-22s round ms: median %.0f, p90 %.0f, max %.0f; all answered %td of "
      "%zu; mean detection %lld ms\n",
      name, at(0.5), at(0.9), at(1.0), complete, runs.size(),
      static_cast<long long>(detection.count()) /
          static_cast<long long>(runs.size()));
}

}  // namespace
}  // namespace flamingogauge

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::printf("seeds %llu to %llu, %llu hosts, mute %.2f\n",
              static_cast<unsigned long long>(FLAGS_seed),
              static_cast<unsigned long long>(FLAGS_seed + FLAGS_seeds - 1),
              static_cast<unsigned long long>(FLAGS_hosts), FLAGS_mute);
  for (const bool ends_early : {false, true}) {
    std::vector<flamingogauge::Takeover> runs;
    for (std::uint64_t n = 0; n < FLAGS_seeds; ++n) {
      runs.push_back(
          flamingogauge::TakeoverRun(FLAGS_seed + n, ends_early).Run());
    }
    flamingogauge::Print(ends_early ? "ends when all answered" : "time limit",
                         std::move(runs));
  }
  return 0;
}
