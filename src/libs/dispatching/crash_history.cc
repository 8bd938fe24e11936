#include "libs/dispatching/crash_history.h"

#include <algorithm>

namespace flamingogauge {
namespace {

constexpr std::chrono::seconds kRetention{60};
// A record is included in the reports sent during this period, so that it
// arrives even if some of them are lost.
constexpr std::chrono::seconds kReportPeriod{5};
constexpr std::size_t kMaxRecords = 2000;
constexpr std::size_t kMaxReportedRecords = 40;

}  // namespace

void CrashHistory::Add(const CrashRecord& record, MonotonicTime now) {
  if (records_.size() < kMaxRecords) {
    records_.emplace(record, now);
  }
}

bool CrashHistory::IsRefused(std::uint64_t request, MonotonicTime now) {
  RemoveExpired(now);
  std::size_t upstreams = 0;
  for (auto it = records_.lower_bound({.request = request, .upstream = 0});
       it != records_.end() && it->first.request == request; ++it) {
    ++upstreams;
  }
  return upstreams >= kRefusalThreshold;
}

std::vector<CrashRecord> CrashHistory::Recent(MonotonicTime now) {
  RemoveExpired(now);
  std::vector<CrashRecord> recent;
  for (const auto& [record, time] : records_) {
    if (now - time <= kReportPeriod && recent.size() < kMaxReportedRecords) {
      recent.push_back(record);
    }
  }
  return recent;
}

void CrashHistory::RemoveExpired(MonotonicTime now) {
  std::erase_if(records_,
                [now](const auto& it) { return now - it.second > kRetention; });
}

}  // namespace flamingogauge
