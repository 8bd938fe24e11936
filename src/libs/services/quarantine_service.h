#ifndef FLAMINGOGAUGE_LIBS_SERVICES_QUARANTINE_SERVICE_H_
#define FLAMINGOGAUGE_LIBS_SERVICES_QUARANTINE_SERVICE_H_

#include <chrono>
#include <string_view>
#include <vector>

#include "libs/model/fingerprint.h"

namespace flamingogauge {

struct QuarantineEntry {
  Fingerprint fingerprint;
  std::chrono::milliseconds time_left{0};
};

// Knows the requests that crash upstreams. Safe from any thread.
class QuarantineService {
 public:
  static constexpr std::string_view kServiceName = "crashes.quarantine";

  virtual ~QuarantineService() = default;

  virtual bool IsQuarantined(const Fingerprint& fingerprint) const = 0;
  virtual std::vector<QuarantineEntry> List() const = 0;

  // Starts a quarantine on all hosts in reach, for the time that the document
  // sets. Called by the scheduler that saw the second crash.
  virtual void Quarantine(const Fingerprint& /*fingerprint*/) {}

  // Ends a quarantine on all hosts in reach; false when there is none.
  virtual bool Release(const Fingerprint& fingerprint) = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SERVICES_QUARANTINE_SERVICE_H_
