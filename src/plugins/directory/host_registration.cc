#include "plugins/directory/host_registration.h"

#include <utility>

#include "libs/kernel/boot_clock.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRetryInterval{1000};
// How long a list may lack an entry that has been written: lists are read every
// few seconds and may be stale.
constexpr milliseconds kListDelay{8000};

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
  if (it != listed->end() && *it->second == host_) {
    next_attempt_at_ = now + kRetryInterval;
    return;
  }
  Write(now);
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
