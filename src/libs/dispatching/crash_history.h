#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_CRASH_HISTORY_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_CRASH_HISTORY_H_

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "libs/kernel/time.h"

namespace flamingogauge {

// A request during which the connection to an upstream ended without a
// response.
struct CrashRecord {
  // Identifies the request by caller, target and body.
  std::uint64_t request = 0;
  std::uint64_t upstream = 0;

  bool operator==(const CrashRecord&) const = default;
  bool operator<(const CrashRecord& other) const {
    return std::tie(request, upstream) <
           std::tie(other.request, other.upstream);
  }
};

// Records which upstreams failed while executing a request, on this host or on
// others, so that a request that crashes every upstream it runs on is refused.
class CrashHistory {
 public:
  // A request is refused once this many distinct upstreams failed under it.
  static constexpr std::size_t kRefusalThreshold = 3;

  void Add(const CrashRecord& record, MonotonicTime now);
  bool IsRefused(std::uint64_t request, MonotonicTime now);
  // Recent records, to be included in the report to other hosts.
  std::vector<CrashRecord> Recent(MonotonicTime now);

 private:
  void RemoveExpired(MonotonicTime now);

  std::map<CrashRecord, MonotonicTime> records_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_CRASH_HISTORY_H_
