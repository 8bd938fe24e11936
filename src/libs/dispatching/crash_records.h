#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_CRASH_RECORDS_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_CRASH_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "libs/dispatching/crash_evidence.h"
#include "libs/kernel/time.h"

namespace flamingogauge {

struct LostRequest {
  RequestKeys keys;
  // When this host learned that it was lost.
  MonotonicTime learned_at;
};

// One crash of an upstream, as seen by all hosts.
struct UpstreamCrash {
  MonotonicTime at;
  std::vector<LostRequest> lost;
};

// The crashes of the last minute. Bounded; the oldest crash is removed first.
class CrashRecords {
 public:
  static constexpr std::size_t kMaxLostRequests = 512;

  // Records that a request was lost in a crash at `at`. Returns false if that
  // is known or too long ago. `upstream` is a PeerUpstreamKey.
  bool Add(std::uint64_t upstream,
           const RequestKeys& keys,
           MonotonicTime at,
           MonotonicTime now);
  void RemoveExpired(MonotonicTime now);

  // By the upstream's PeerUpstreamKey.
  const std::map<std::uint64_t, std::vector<UpstreamCrash>>& by_upstream()
      const {
    return by_upstream_;
  }
  // True if a request with the key was lost.
  bool IsSuspect(const SuspectKey& key) const {
    return suspects_.contains(key);
  }
  std::size_t suspect_count() const { return suspects_.size(); }
  // The last crash in which a request with the key was lost.
  std::optional<MonotonicTime> LastCrash(const SuspectKey& key) const;
  // The requests of which this host learned at `since` or later, the newest
  // first, and at most `max_records`.
  std::vector<CrashRecord> Newest(MonotonicTime since,
                                  std::size_t max_records,
                                  MonotonicTime now) const;

 private:
  UpstreamCrash& FindOrAdd(std::uint64_t upstream, MonotonicTime at);
  void RemoveOldest();
  // Removes the requests of a crash from the counts.
  void Uncount(const UpstreamCrash& crash);

  std::map<std::uint64_t, std::vector<UpstreamCrash>> by_upstream_;
  std::size_t lost_count_ = 0;
  // How many lost requests have each key.
  std::map<SuspectKey, int> suspects_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_CRASH_RECORDS_H_
