#include "libs/kernel/process_life.h"

namespace flamingogauge {

std::string_view ToString(ProcessRequest request) {
  switch (request) {
    case ProcessRequest::kReload:
      return "reload";
    case ProcessRequest::kStop:
      return "stop";
    case ProcessRequest::kInterrupt:
      return "interrupt";
  }
  return "unknown";
}

ProcessAction ProcessLife::OnRequest(ProcessRequest request,
                                     MonotonicTime now) {
  switch (stage_) {
    case ProcessStage::kServing:
      return OnRequestWhileServing(request, now);
    case ProcessStage::kDraining:
      if (request == ProcessRequest::kInterrupt) {
        stage_ = ProcessStage::kEnded;
        return ProcessAction::kExitAtOnce;
      }
      // The next process reads the changed settings when it starts.
      return ProcessAction::kIgnore;
    case ProcessStage::kEnded:
      return ProcessAction::kIgnore;
  }
  return ProcessAction::kIgnore;
}

ProcessAction ProcessLife::OnRequestWhileServing(ProcessRequest request,
                                                 MonotonicTime now) {
  if (request == ProcessRequest::kReload) {
    return ProcessAction::kReload;
  }
  stage_ = ProcessStage::kDraining;
  drain_began_at_ = now;
  return ProcessAction::kDrain;
}

void ProcessLife::OnDrained() {
  if (stage_ == ProcessStage::kDraining) {
    stage_ = ProcessStage::kEnded;
  }
}

Duration ProcessLife::DrainingFor(MonotonicTime now) const {
  return drain_began_at_ == MonotonicTime() ? Duration::zero()
                                            : now - drain_began_at_;
}

}  // namespace flamingogauge
