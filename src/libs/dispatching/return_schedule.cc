#include "libs/dispatching/return_schedule.h"

#include <algorithm>

namespace flamingogauge {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds kMaxDelay{4000};
// The part of the latest delay at which callers begin to return that find
// nothing to book.
constexpr double kSpreadFrom = 0.6;

}  // namespace

milliseconds ReturnSchedule::Book(const Booking& booking,
                                  MonotonicTime now,
                                  Random& random) {
  const milliseconds latest = std::clamp(booking.latest, kMinDelay, kMaxDelay);
  const milliseconds earliest = std::clamp(booking.earliest, kMinDelay, latest);
  // What is more urgent and booked goes first.
  MonotonicTime at = now + earliest;
  for (const auto& [priority, booked_until] : booked_until_) {
    if (priority <= booking.priority) {
      at = std::max(at, booked_until);
    }
  }
  if (at <= now + latest) {
    const std::chrono::duration<double> room(1 / booking.per_second);
    booked_until_[booking.priority] = at + duration_cast<Duration>(room);
    return duration_cast<milliseconds>(at - now);
  }
  const double part = kSpreadFrom + (1 - kSpreadFrom) * random.NextDouble();
  return milliseconds(static_cast<milliseconds::rep>(
      static_cast<double>(latest.count()) * part));
}

}  // namespace flamingogauge
