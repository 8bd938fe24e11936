#ifndef FLAMINGOGAUGE_LIBS_COORDINATION_PLACEMENT_VIEW_H_
#define FLAMINGOGAUGE_LIBS_COORDINATION_PLACEMENT_VIEW_H_

#include <string>

#include "libs/dispatching/dispatcher.h"

namespace flamingogauge {

// Who places the requests of a host now, and what the host can tell of it.
struct PlacementView {
  // The coordinator; empty if the host places its requests itself.
  std::string coordinator;
  // The queue of the coordinator if that is the host itself, else the host's
  // own queue, which knows the load of the others from the coordinator. Not
  // null.
  const Dispatcher* dispatcher = nullptr;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_COORDINATION_PLACEMENT_VIEW_H_
