// Hosts that exchange crash evidence, in virtual time, while requests with one
// prompt part crash the upstreams that run them.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <utility>
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
// When some hosts are cut off from the others and when some are killed, after
// the start, and for how long.
constexpr seconds kCutAfter{1};
constexpr seconds kCutTime{6};
constexpr seconds kKillAfter{9};
constexpr seconds kDownTime{3};
// The pause before a caller repeats a request that was lost.
constexpr milliseconds kRepeatAfter{400};
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

// A sound request that its caller sends again.
struct Repeat {
  RequestKeys keys;
  MonotonicTime at;
};

struct Host {
  CrashQuarantine quarantine;
  MonotonicTime cut_until;
  MonotonicTime down_until;

  // Neither cut off nor down for `time`.
  bool IsInTouch(MonotonicTime now, seconds time) const {
    return now >= std::max(cut_until, down_until) + time;
  }
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
  // The share of hosts that are cut off from the others for a while, and of
  // those that are killed and start anew.
  double cut_share = 0;
  double killed_share = 0;
  // Callers repeat a sound request that was lost.
  bool repeats = false;
  std::uint64_t seed = 1;
};

struct FleetResult {
  int crashes = 0;
  // Deadly requests sent later than `kSpreadTime` after the fifth crash, by
  // hosts that were in touch for as long.
  int late_sends = 0;
  int sound = 0;
  int sound_refused = 0;
  // How often a host ended the quarantine of the deadly part.
  int ended = 0;
};

// The first host that is up and not cut off is the coordinator: the others
// report to it, and it reports to them.
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
        SendNewRequest();
      }
      SendRepeats();
      for (std::size_t n = 0; n < upstreams_.size(); ++n) {
        Advance(n);
      }
      if ((now_ - kStart) % kReportInterval < kStep) {
        ExchangeReports();
      }
      if (options_.restart_interval > seconds(0) && now_ >= restart_at) {
        hosts_[random_.NextBelow(hosts_.size())].quarantine = CrashQuarantine();
        restart_at += options_.restart_interval;
      }
      CutAndKill();
      CountEnded();
    }
    return result_;
  }

 private:
  static constexpr MonotonicTime kStart{std::chrono::hours(1)};

  static bool IsDeadly(const RequestKeys& keys) {
    return keys.prompt_parts.back() == kDeadlyPart;
  }

  void SendNewRequest() {
    const bool is_deadly = random_.NextBool(options_.deadly_share);
    const std::size_t host = random_.NextBelow(hosts_.size());
    // Sound requests share the first part and the parts of conversations.
    Send({.request = random_.Next(),
          .prompt_parts = {kSharedPart, is_deadly
                                            ? kDeadlyPart
                                            : 100 + random_.NextBelow(200)}},
         host);
  }

  void SendRepeats() {
    for (const Repeat& it : std::exchange(repeats_, {})) {
      if (it.at > now_) {
        repeats_.push_back(it);
      } else {
        Send(it.keys, random_.NextBelow(hosts_.size()));
      }
    }
  }

  void Send(const RequestKeys& keys, std::size_t n) {
    Host& host = hosts_[n];
    if (now_ < host.down_until) {
      return;
    }
    const bool is_deadly = IsDeadly(keys);
    const bool is_refused =
        host.quarantine.FindQuarantined(keys, now_).has_value();
    result_.sound += is_deadly ? 0 : 1;
    result_.sound_refused += !is_deadly && is_refused ? 1 : 0;
    Upstream& upstream = upstreams_[random_.NextBelow(upstreams_.size())];
    if (is_refused || now_ < upstream.back_at ||
        upstream.running.size() == kSlots) {
      return;
    }
    upstream.running.push_back({.keys = keys, .host = n, .sent_at = now_});
    if (is_deadly && result_.crashes >= 5 &&
        now_ > fifth_crash_at_ + kSpreadTime &&
        host.IsInTouch(now_, kSpreadTime)) {
      ++result_.late_sends;
    }
  }

  void Advance(std::size_t n) {
    Upstream& upstream = upstreams_[n];
    const bool crashes = std::any_of(
        upstream.running.begin(), upstream.running.end(),
        [this](const Running& it) {
          return IsDeadly(it.keys) && now_ - it.sent_at >= kBeginsAfter;
        });
    if (crashes) {
      Crash(n);
      return;
    }
    for (Running& it : upstream.running) {
      if (!it.is_sound && now_ - it.sent_at >= kSoundAfter) {
        it.is_sound = true;
        hosts_[it.host].quarantine.OnSound(it.keys, it.sent_at + kBeginsAfter,
                                           now_);
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
        hosts_[it.host].quarantine.OnCrash(n, it.keys, now_, now_);
        if (options_.repeats && !IsDeadly(it.keys)) {
          repeats_.push_back({.keys = it.keys, .at = now_ + kRepeatAfter});
        }
      }
    }
    upstream.running.clear();
    upstream.back_at = now_ + kRestart;
    if (++result_.crashes == 5) {
      fifth_crash_at_ = now_;
    }
  }

  void CutAndKill() {
    for (Host& it : hosts_) {
      if (now_ == kStart + kCutAfter && random_.NextBool(options_.cut_share)) {
        it.cut_until = now_ + kCutTime;
      }
      if (now_ == kStart + kKillAfter &&
          random_.NextBool(options_.killed_share)) {
        Kill(it);
      }
    }
  }

  void CountEnded() {
    for (Host& host : hosts_) {
      for (const auto& it : host.quarantine.TakeChanges()) {
        result_.ended += !it.began && it.entry.key.id == kDeadlyPart ? 1 : 0;
      }
    }
  }

  // What it sent ends with it, and nobody learns of it.
  void Kill(Host& host) {
    host.quarantine = CrashQuarantine();
    host.down_until = now_ + kDownTime;
    for (Upstream& upstream : upstreams_) {
      std::erase_if(upstream.running, [&](const Running& it) {
        return &hosts_[it.host] == &host;
      });
    }
  }

  void ExchangeReports() {
    std::vector<CrashQuarantine*> connected;
    for (Host& it : hosts_) {
      if (it.IsInTouch(now_, seconds(0))) {
        connected.push_back(&it.quarantine);
      }
    }
    for (std::size_t n = 1; n < connected.size(); ++n) {
      Deliver(*connected[n], *connected[0]);
      Deliver(*connected[0], *connected[n]);
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
  std::vector<Host> hosts_;
  std::vector<Upstream> upstreams_;
  std::vector<Repeat> repeats_;
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
           Row{"hosts are cut off and killed, and lost requests come again",
               {.deadly_share = 0.08,
               .loss = 0.1,
               .cut_share = 0.35,
               .killed_share = 0.4,
               .repeats = true}},
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
