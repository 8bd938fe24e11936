#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_RETURN_SCHEDULE_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_RETURN_SCHEDULE_H_

#include <chrono>
#include <map>

#include "libs/kernel/random.h"
#include "libs/kernel/time.h"

namespace flamingogauge {

// Chooses when refused callers of a service return. Each of them books room at
// the rate that is expected to be left for its priority, so that callers that
// are refused together return one after the other, and each finds room.
//
// Load pattern: a burst whose refused callers return all at once and make a
// second burst, in which most are refused again.
class ReturnSchedule {
 public:
  // The shortest delay that callers are told.
  static constexpr std::chrono::milliseconds kMinDelay{400};

  struct Booking {
    int priority = 0;
    // When room is expected at the earliest.
    std::chrono::milliseconds earliest{0};
    // The longest delay that the caller can be expected to keep to.
    std::chrono::milliseconds latest{0};
    // Requests per second that can be placed at that time.
    double per_second = 1;
  };

  // Returns the delay after which the caller should return.
  std::chrono::milliseconds Book(const Booking& booking,
                                 MonotonicTime now,
                                 Random& random);

 private:
  // The end of what is booked, by priority.
  std::map<int, MonotonicTime> booked_until_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_RETURN_SCHEDULE_H_
