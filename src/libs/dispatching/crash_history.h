#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_CRASH_HISTORY_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_CRASH_HISTORY_H_

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "libs/kernel/time.h"

namespace flamingogauge {

// A request that ended the connection to an upstream without an answer.
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

// Remembers requests that broke several upstreams, on this host or on others,
// so that a request that crashes each upstream that runs it is refused.
class CrashHistory {
 public:
  // Broken upstreams from which a request is refused.
  static constexpr std::size_t kRefusedFrom = 3;

  void Add(const CrashRecord& record, MonotonicTime now);
  bool IsRefused(std::uint64_t request, MonotonicTime now);
  // The newest records, for the report to other hosts.
  std::vector<CrashRecord> Recent(MonotonicTime now);

 private:
  void Forget(MonotonicTime now);

  std::map<CrashRecord, MonotonicTime> records_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_CRASH_HISTORY_H_
