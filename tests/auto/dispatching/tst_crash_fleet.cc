// Hosts that exchange crash evidence, in virtual time, while requests with one
// prompt part crash the upstreams that run them.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

#include "libs/dispatching/crash_quarantine.h"
#include "libs/kernel/random.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep{10};
constexpr milliseconds kReportInterval{200};
constexpr milliseconds kBeginsAfter{150};
constexpr milliseconds kSoundAfter{450};
constexpr milliseconds kEndsAfter{1500};
constexpr seconds kRestart{3};
constexpr std::size_t kSlots = 8;
constexpr std::uint64_t kSharedPart = 1;
constexpr std::uint64_t kDeadlyPart = 9;

struct Running {
  RequestKeys keys;
  std::size_t host = 0;
  MonotonicTime sent_at;
  bool is_sound = false;
};

struct Upstream {
  std::vector<Running> running;
  MonotonicTime back_at;
};

struct FleetOptions {
  std::size_t hosts = 9;
  std::size_t upstreams = 35;
  double requests_per_second = 100;
  double deadly_share = 0.05;
  // The share of messages between hosts that are lost.
  double loss = 0;
  // A host starts anew at this interval; zero for never.
  seconds restart_interval{0};
  std::uint64_t seed = 1;
};

struct FleetResult {
  int crashes = 0;
  // Deadly requests sent later than `kSpreadTime` after the fifth crash.
  int late_sends = 0;
  int sound = 0;
  int sound_refused = 0;
};

// Host 0 is the coordinator: the others report to it, and it reports to them.
class CrashFleet {
 public:
  static constexpr seconds kSpreadTime{4};

  explicit CrashFleet(const FleetOptions& options)
      : options_(options),
        random_(options.seed),
        hosts_(options.hosts),
        upstreams_(options.upstreams) {}

  FleetResult Run(seconds length) {
    const MonotonicTime end = now_ + length;
    MonotonicTime restart_at = now_ + options_.restart_interval;
    for (; now_ < end; now_ += kStep) {
      if (random_.NextBool(options_.requests_per_second * ToSeconds(kStep))) {
        SendRequest();
      }
      for (std::size_t n = 0; n < upstreams_.size(); ++n) {
        Advance(n);
      }
      if ((now_ - kStart) % kReportInterval < kStep) {
        ExchangeReports();
      }
      if (options_.restart_interval > seconds(0) && now_ >= restart_at) {
        hosts_[random_.NextBelow(hosts_.size())] = CrashQuarantine();
        restart_at += options_.restart_interval;
      }
    }
    return result_;
  }

 private:
  static constexpr MonotonicTime kStart{std::chrono::hours(1)};

  void SendRequest() {
    const bool is_deadly = random_.NextBool(options_.deadly_share);
    const std::size_t host = random_.NextBelow(hosts_.size());
    // Sound requests share the first part and the parts of conversations.
    const RequestKeys keys{
        .request = random_.Next(),
        .prompt_parts = {kSharedPart, is_deadly
                                          ? kDeadlyPart
                                          : 100 + random_.NextBelow(200)}};
    const bool is_refused =
        hosts_[host].FindQuarantined(keys, now_).has_value();
    result_.sound += is_deadly ? 0 : 1;
    result_.sound_refused += !is_deadly && is_refused ? 1 : 0;
    Upstream& upstream = upstreams_[random_.NextBelow(upstreams_.size())];
    if (is_refused || now_ < upstream.back_at ||
        upstream.running.size() == kSlots) {
      return;
    }
    upstream.running.push_back({.keys = keys, .host = host, .sent_at = now_});
    if (is_deadly && result_.crashes >= 5 &&
        now_ > fifth_crash_at_ + kSpreadTime) {
      ++result_.late_sends;
    }
  }

  void Advance(std::size_t n) {
    Upstream& upstream = upstreams_[n];
    const bool crashes =
        std::any_of(upstream.running.begin(), upstream.running.end(),
                    [this](const Running& it) {
                      return it.keys.prompt_parts.back() == kDeadlyPart &&
                             now_ - it.sent_at >= kBeginsAfter;
                    });
    if (crashes) {
      Crash(n);
      return;
    }
    for (Running& it : upstream.running) {
      if (!it.is_sound && now_ - it.sent_at >= kSoundAfter) {
        it.is_sound = true;
        hosts_[it.host].OnSound(it.keys, it.sent_at + kBeginsAfter, now_);
      }
    }
    std::erase_if(upstream.running, [this](const Running& it) {
      return now_ - it.sent_at >= kEndsAfter;
    });
  }

  void Crash(std::size_t n) {
    Upstream& upstream = upstreams_[n];
    for (const Running& it : upstream.running) {
      if (!it.is_sound) {
        hosts_[it.host].OnCrash(n, it.keys, now_, now_);
      }
    }
    upstream.running.clear();
    upstream.back_at = now_ + kRestart;
    if (++result_.crashes == 5) {
      fifth_crash_at_ = now_;
    }
  }

  void ExchangeReports() {
    for (std::size_t n = 1; n < hosts_.size(); ++n) {
      Deliver(hosts_[n], hosts_[0]);
      Deliver(hosts_[0], hosts_[n]);
    }
  }

  void Deliver(CrashQuarantine& from, CrashQuarantine& to) {
    const CrashEvidence evidence = from.Report(now_);
    if (!random_.NextBool(options_.loss)) {
      to.Merge(evidence, now_);
    }
  }

  const FleetOptions options_;
  Random random_;
  MonotonicTime now_ = kStart;
  std::vector<CrashQuarantine> hosts_;
  std::vector<Upstream> upstreams_;
  MonotonicTime fifth_crash_at_;
  FleetResult result_;
};

// Guards against upstreams that crash one after another under new requests with
// the same prompt part, and against refusing sound requests beside them.
TEST_CASE("hosts together stop a prompt part that crashes upstreams") {
  struct Row {
    std::string name;
    FleetOptions options;
  };
  for (const Row& row : {
           Row{"nine hosts", {}},
           Row{"most requests are deadly", {.deadly_share = 0.5}},
           Row{"few requests are deadly", {.deadly_share = 0.01}},
           Row{"three in ten messages are lost", {.loss = 0.3}},
           Row{"hosts restart", {.restart_interval = seconds(2)}},
           Row{"few upstreams, all busy",
               {.upstreams = 6, .requests_per_second = 60}},
           Row{"a hundred hosts", {.hosts = 100, .upstreams = 100}},
       }) {
    CAPTURE(row.name);
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      CAPTURE(seed);
      FleetOptions options = row.options;
      options.seed = seed;
      const FleetResult result = CrashFleet(options).Run(seconds(30));
      CHECK(result.crashes >= 3);
      CHECK(result.late_sends <= 3);
      CHECK(result.sound_refused <= result.sound / 100);
    }
  }
}

}  // namespace
}  // namespace flamingogauge
