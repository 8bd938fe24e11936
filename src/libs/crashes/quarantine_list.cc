#include "libs/crashes/quarantine_list.h"

#include <algorithm>
#include <tuple>

#include "libs/kernel/check.h"
#include "libs/kernel/random.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// The sort key that decides which of two decisions wins. `T` is
// QuarantineRecord or Decision.
template <typename T>
auto Key(const T& it) {
  return std::tuple(it.version, it.is_quarantined, it.origin.high,
                    it.origin.low);
}

}  // namespace

QuarantineRecord QuarantineList::Quarantine(const Fingerprint& fingerprint,
                                            milliseconds duration,
                                            MonotonicTime now) {
  return Decide(fingerprint, true, duration, now);
}

bool QuarantineList::Release(const Fingerprint& fingerprint,
                             MonotonicTime now,
                             QuarantineRecord* record) {
  if (!IsQuarantined(fingerprint, now)) {
    return false;
  }
  const auto left = std::chrono::ceil<milliseconds>(
      decisions_.at(fingerprint).expires_at - now);
  *record = Decide(fingerprint, false, left + options_.release_margin, now);
  return true;
}

QuarantineRecord QuarantineList::Decide(const Fingerprint& fingerprint,
                                        bool is_quarantined,
                                        milliseconds duration,
                                        MonotonicTime now) {
  const auto it = decisions_.find(fingerprint);
  const QuarantineRecord record{
      .fingerprint = fingerprint,
      .version = it == decisions_.end() ? 1 : it->second.version + 1,
      .is_quarantined = is_quarantined,
      .origin = self_,
      .time_left = duration};
  Merge(record, now);
  return record;
}

bool QuarantineList::Merge(const QuarantineRecord& record, MonotonicTime now) {
  if (record.time_left <= milliseconds(0)) {
    return false;
  }
  const MonotonicTime expires_at = now + record.time_left;
  const auto it = decisions_.find(record.fingerprint);
  if (it != decisions_.end() && Key(record) <= Key(it->second)) {
    if (Key(record) == Key(it->second)) {
      // The path with the lower delay has the more accurate expiry time.
      it->second.expires_at = std::min(it->second.expires_at, expires_at);
    }
    return false;
  }
  if (it == decisions_.end()) {
    EvictIfFull(now);
  }
  decisions_[record.fingerprint] = {.version = record.version,
                                    .is_quarantined = record.is_quarantined,
                                    .origin = record.origin,
                                    .expires_at = expires_at};
  CHECK_INVARIANT("C3", decisions_.size() <= options_.max_records,
                  "the quarantine list holds " +
                      std::to_string(decisions_.size()) +
                      " records, more than its limit");
  return true;
}

void QuarantineList::EvictIfFull(MonotonicTime now) {
  if (decisions_.size() < options_.max_records) {
    return;
  }
  Expire(now);
  if (decisions_.size() >= options_.max_records) {
    decisions_.erase(std::min_element(
        decisions_.begin(), decisions_.end(), [](const auto& a, const auto& b) {
          return a.second.expires_at < b.second.expires_at;
        }));
  }
}

bool QuarantineList::IsQuarantined(const Fingerprint& fingerprint,
                                   MonotonicTime now) const {
  const auto it = decisions_.find(fingerprint);
  return it != decisions_.end() && it->second.is_quarantined &&
         now < it->second.expires_at;
}

std::vector<QuarantineRecord> QuarantineList::Records(MonotonicTime now) const {
  std::vector<QuarantineRecord> records;
  for (const auto& [fingerprint, decision] : decisions_) {
    if (now < decision.expires_at) {
      records.push_back({.fingerprint = fingerprint,
                         .version = decision.version,
                         .is_quarantined = decision.is_quarantined,
                         .origin = decision.origin,
                         .time_left = std::chrono::duration_cast<milliseconds>(
                             decision.expires_at - now)});
    }
  }
  return records;
}

std::uint64_t QuarantineList::Digest(MonotonicTime now) const {
  std::uint64_t digest = 0;
  for (const auto& [fingerprint, decision] : decisions_) {
    if (now < decision.expires_at) {
      digest ^= Random(fingerprint.low ^ (decision.version << 1) ^
                       (decision.is_quarantined ? 1 : 0) ^ decision.origin.low)
                    .Next();
    }
  }
  return digest;
}

void QuarantineList::Expire(MonotonicTime now) {
  std::erase_if(decisions_,
                [now](const auto& it) { return it.second.expires_at <= now; });
}

}  // namespace flamingogauge
