#ifndef FLAMINGOGAUGE_LIBS_KERNEL_PROCESS_LIFE_H_
#define FLAMINGOGAUGE_LIBS_KERNEL_PROCESS_LIFE_H_

#include <string_view>

#include "libs/kernel/time.h"

namespace flamingogauge {

// The stages of a serving process, in order. A stage is never left for an
// earlier one.
enum class ProcessStage { kServing, kDraining, kEnded };

// What a signal asks of a serving process.
enum class ProcessRequest {
  // The settings have changed: SIGHUP, or a changed file.
  kReload,
  // A planned stop: SIGTERM.
  kStop,
  // A person at a terminal stops the process: SIGINT.
  kInterrupt,
};

// What the process has to do next.
enum class ProcessAction {
  // The request is not acted on.
  kIgnore,
  kReload,
  // Stop accepting work, finish what is in flight, then report OnDrained().
  kDrain,
  // Exit; work may still be in flight.
  kExitAtOnce,
};

std::string_view ToString(ProcessRequest request);

// Decides when a serving process ends. It ends once it has drained. Before
// that, only an interrupt while it drains ends it: supervisors may repeat
// SIGTERM, and settings may change, while requests are still in flight.
class ProcessLife {
 public:
  // To be called for each signal and each detected change of the settings.
  ProcessAction OnRequest(ProcessRequest request, MonotonicTime now);

  // To be called when nothing is left in flight, or the drain's time limit has
  // passed.
  void OnDrained();

  ProcessStage stage() const { return stage_; }
  // How long the process has been draining; zero before.
  Duration DrainingFor(MonotonicTime now) const;

 private:
  ProcessAction OnRequestWhileServing(ProcessRequest request,
                                      MonotonicTime now);

  ProcessStage stage_ = ProcessStage::kServing;
  MonotonicTime drain_began_at_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_KERNEL_PROCESS_LIFE_H_
