#ifndef FLAMINGOGAUGE_LIBS_COORDINATION_USAGE_LEDGER_H_
#define FLAMINGOGAUGE_LIBS_COORDINATION_USAGE_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>

#include "libs/dispatching/shared_rate_limiter.h"

namespace flamingogauge {

// Adds up what the hosts spend of each workspace's limit. Sources are the hosts
// of this data centre and the coordinators of the others; each reports what it
// has spent since its process started.
class UsageLedger {
 public:
  // Applies the usage that `source` reports.
  void Record(const std::string& source,
              std::uint64_t process,
              const UsageByWorkspace& usage);
  // Forgets a source that is gone; what it has spent stays in the total.
  void Forget(const std::string& source);
  // Sets the credits to tell to hosts that have just started.
  void SetCredits(const UsageByWorkspace& usage);

  // Adds what all sources but `except` have spent since this ledger began.
  void AddTotalExcept(const std::string& except, UsageByWorkspace& usage) const;

 private:
  struct Source {
    std::uint64_t process = 0;
    // The last reported amounts, by workspace.
    std::map<std::string, double> reported;
    // The amounts spent since this ledger began.
    std::map<std::string, double> spent;
  };

  std::map<std::string, Source> sources_;
  std::map<std::string, double> total_;
  std::map<std::string, double> credits_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_COORDINATION_USAGE_LEDGER_H_
