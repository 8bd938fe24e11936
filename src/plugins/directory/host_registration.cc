#include "plugins/directory/host_registration.h"

#include <algorithm>
#include <utility>

#include "libs/kernel/boot_clock.h"
#include "libs/model/fingerprint.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRetryInterval{1000};
// How long a list may lack an entry that has been written: lists are read every
// few seconds and may be stale.
constexpr milliseconds kListDelay{8000};
// The time in which all hosts write their entries again in a new era.
constexpr milliseconds kRewriteSpread{1500};

}  // namespace

HostRegistration::HostRegistration(
    HostEntry host,
    FleetStore& store,
    EventLog& log,
    std::shared_ptr<BoundedRing<DirectoryTask>> ring)
    : host_(std::move(host)),
      store_(store),
      log_(log),
      ring_(std::move(ring)) {}

void HostRegistration::Update(const VersionedTable<HostEntry>::Entries* listed,
                              bool is_first_start,
                              MonotonicTime now) {
  if (in_flight_ || now < next_attempt_at_) {
    return;
  }
  if (listed == nullptr) {
    if (is_first_start) {
      Write(now);
    }
    return;
  }
  const auto it = listed->find(host_.name);
  const bool is_needed = std::exchange(rewrite_at_, std::nullopt).has_value();
  if (!is_needed && it != listed->end() && *it->second == host_) {
    next_attempt_at_ = now + kRetryInterval;
    return;
  }
  Write(now);
}

void HostRegistration::OnEra(std::uint64_t era, MonotonicTime now) {
  const std::uint64_t before = std::exchange(era_, std::max(era_, era));
  if (before == 0 || era_ == before) {
    return;
  }
  // The hosts write one after the other.
  const auto share = static_cast<milliseconds::rep>(
      ComputeContentHash(host_.name).low % kRewriteSpread.count());
  rewrite_at_ = now + milliseconds(share);
  next_attempt_at_ = *rewrite_at_;
}

void HostRegistration::Write(MonotonicTime now) {
  in_flight_ = true;
  next_attempt_at_ = now + kListDelay;
  store_.RegisterHost(host_, [this, ring = ring_](const Result<void>& result) {
    // The queue is closed when this object is being destroyed.
    (void)ring->TryPush([this, result] {
      in_flight_ = false;
      if (!result) {
        next_attempt_at_ = BootTimeNow() + kRetryInterval;
      }
      log_.Write(
          EventLine("host.register")
              .Text("result", result ? "done" : ToString(result.error())));
    });
  });
}

}  // namespace flamingogauge
