#include "libs/dispatching/crash_history.h"

#include <algorithm>

namespace flamingogauge {
namespace {

constexpr std::chrono::seconds kLifetime{60};
// Records are reported for this long; a report that is lost is followed by
// several others.
constexpr std::chrono::seconds kReportedFor{5};
constexpr std::size_t kMaxRecords = 2000;
constexpr std::size_t kMaxReported = 40;

}  // namespace

void CrashHistory::Add(const CrashRecord& record, MonotonicTime now) {
  if (records_.size() < kMaxRecords) {
    records_.emplace(record, now);
  }
}

bool CrashHistory::IsRefused(std::uint64_t request, MonotonicTime now) {
  Forget(now);
  std::size_t upstreams = 0;
  for (auto it = records_.lower_bound({.request = request, .upstream = 0});
       it != records_.end() && it->first.request == request; ++it) {
    ++upstreams;
  }
  return upstreams >= kRefusedFrom;
}

std::vector<CrashRecord> CrashHistory::Recent(MonotonicTime now) {
  Forget(now);
  std::vector<CrashRecord> recent;
  for (const auto& [record, time] : records_) {
    if (now - time <= kReportedFor && recent.size() < kMaxReported) {
      recent.push_back(record);
    }
  }
  return recent;
}

void CrashHistory::Forget(MonotonicTime now) {
  std::erase_if(records_,
                [now](const auto& it) { return now - it.second > kLifetime; });
}

}  // namespace flamingogauge
