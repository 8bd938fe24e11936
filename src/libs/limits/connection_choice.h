#ifndef FLAMINGOGAUGE_LIBS_LIMITS_CONNECTION_CHOICE_H_
#define FLAMINGOGAUGE_LIBS_LIMITS_CONNECTION_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "libs/kernel/time.h"

namespace flamingogauge {

// What a caller's connection is occupied with, in the order in which
// connections are given up.
enum class ConnectionPhase {
  // Its last response is written; waits for the caller to close it.
  kLingering,
  // The caller has not read the last response.
  kUnread,
  // Waits for a request or for the rest of one.
  kWaiting,
  // A request is being handled.
  kAnswering,
};

struct ConnectionActivity {
  std::uint64_t id = 0;
  ConnectionPhase phase = ConnectionPhase::kWaiting;
  // The begin of the phase, or the last time at which the caller has read.
  MonotonicTime since;
};

// Returns the connections to close when as many are open as are allowed and a
// further one arrives: a thirty-second part of them, and one at least, so that
// the choice is rare. Those that have been in their phase for longest come
// first. Connections whose request is being handled are never closed; the
// result is empty if there are no others.
std::vector<std::uint64_t> ChooseConnectionsToClose(
    std::vector<ConnectionActivity> connections);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_LIMITS_CONNECTION_CHOICE_H_
