#include "libs/dispatching/crash_records.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kRetention{60};
// Reports of one crash by several hosts differ by less than this. A crashed
// upstream takes longer to return.
constexpr milliseconds kSameCrash{1500};

}  // namespace

bool CrashRecords::Add(std::uint64_t upstream,
                       const RequestKeys& keys,
                       MonotonicTime at,
                       MonotonicTime now) {
  if (now - at > kRetention) {
    return false;
  }
  UpstreamCrash& crash = FindOrAdd(upstream, at);
  const bool is_known = std::any_of(crash.lost.begin(), crash.lost.end(),
                                    [&keys](const LostRequest& it) {
                                      return it.keys.request == keys.request;
                                    });
  if (is_known) {
    return false;
  }
  crash.lost.push_back({.keys = keys, .learned_at = now});
  ++lost_count_;
  for (const SuspectKey& it : AllKeys(keys)) {
    ++suspects_[it];
  }
  if (lost_count_ > kMaxLostRequests) {
    RemoveOldest();
  }
  return true;
}

UpstreamCrash& CrashRecords::FindOrAdd(std::uint64_t upstream,
                                       MonotonicTime at) {
  std::vector<UpstreamCrash>& crashes = by_upstream_[upstream];
  for (UpstreamCrash& it : crashes) {
    if (at - it.at < kSameCrash && it.at - at < kSameCrash) {
      return it;
    }
  }
  crashes.push_back({.at = at, .lost = {}});
  return crashes.back();
}

void CrashRecords::RemoveExpired(MonotonicTime now) {
  for (auto it = by_upstream_.begin(); it != by_upstream_.end();) {
    std::erase_if(it->second, [this, now](const UpstreamCrash& crash) {
      const bool is_expired = now - crash.at > kRetention;
      if (is_expired) {
        Uncount(crash);
      }
      return is_expired;
    });
    it = it->second.empty() ? by_upstream_.erase(it) : std::next(it);
  }
}

void CrashRecords::RemoveOldest() {
  auto owner = by_upstream_.end();
  std::vector<UpstreamCrash>::iterator oldest;
  for (auto it = by_upstream_.begin(); it != by_upstream_.end(); ++it) {
    for (auto crash = it->second.begin(); crash != it->second.end(); ++crash) {
      if (owner == by_upstream_.end() || crash->at < oldest->at) {
        owner = it;
        oldest = crash;
      }
    }
  }
  if (owner == by_upstream_.end()) {
    return;
  }
  Uncount(*oldest);
  owner->second.erase(oldest);
  if (owner->second.empty()) {
    by_upstream_.erase(owner);
  }
}

void CrashRecords::Uncount(const UpstreamCrash& crash) {
  lost_count_ -= crash.lost.size();
  for (const LostRequest& lost : crash.lost) {
    for (const SuspectKey& key : AllKeys(lost.keys)) {
      const auto it = suspects_.find(key);
      if (--it->second == 0) {
        suspects_.erase(it);
      }
    }
  }
}

std::optional<MonotonicTime> CrashRecords::LastCrash(
    const SuspectKey& key) const {
  std::optional<MonotonicTime> last;
  if (!IsSuspect(key)) {
    return last;
  }
  for (const auto& [upstream, crashes] : by_upstream_) {
    for (const UpstreamCrash& crash : crashes) {
      const bool has_key = std::any_of(
          crash.lost.begin(), crash.lost.end(), [&key](const LostRequest& it) {
            const std::vector<SuspectKey> keys = AllKeys(it.keys);
            return std::find(keys.begin(), keys.end(), key) != keys.end();
          });
      if (has_key && (!last || *last < crash.at)) {
        last = crash.at;
      }
    }
  }
  return last;
}

std::vector<CrashRecord> CrashRecords::Newest(MonotonicTime since,
                                              std::size_t max_records,
                                              MonotonicTime now) const {
  std::vector<std::pair<MonotonicTime, CrashRecord>> recent;
  for (const auto& [upstream, crashes] : by_upstream_) {
    for (const UpstreamCrash& crash : crashes) {
      const auto age = std::chrono::duration_cast<milliseconds>(now - crash.at);
      for (const LostRequest& it : crash.lost) {
        if (it.learned_at >= since) {
          recent.emplace_back(
              it.learned_at,
              CrashRecord{.upstream = upstream, .keys = it.keys, .age = age});
        }
      }
    }
  }
  std::sort(recent.begin(), recent.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<CrashRecord> records;
  for (auto& [learned_at, it] : recent) {
    if (records.size() == max_records) {
      break;
    }
    records.push_back(std::move(it));
  }
  return records;
}

}  // namespace flamingogauge
