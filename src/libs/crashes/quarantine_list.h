#ifndef FLAMINGOGAUGE_LIBS_CRASHES_QUARANTINE_LIST_H_
#define FLAMINGOGAUGE_LIBS_CRASHES_QUARANTINE_LIST_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "libs/kernel/time.h"
#include "libs/model/fingerprint.h"
#include "libs/model/ids.h"

namespace flamingogauge {

// A decision about a fingerprint, as exchanged between hosts.
struct QuarantineRecord {
  Fingerprint fingerprint;
  // One higher than the version of the previous decision known to `origin`.
  std::uint64_t version = 0;
  // False when an operator released the fingerprint.
  bool is_quarantined = true;
  // The process that made the decision.
  Incarnation origin;
  // Remaining lifetime of the decision.
  std::chrono::milliseconds time_left{0};
};

// Replicated list of the quarantine decisions of all hosts. Merging is
// idempotent and independent of the order of arrival: the higher version wins;
// at the same version, quarantine wins over release, and then the higher origin
// wins. Receiving a decision again never extends its lifetime.
class QuarantineList {
 public:
  struct Options {
    std::size_t max_records = 4096;
    // Added to the lifetime of a release, so that it outlives the quarantine
    // that it ends on hosts that receive it late.
    std::chrono::milliseconds release_margin{60000};
  };

  QuarantineList(Incarnation self, const Options& options)
      : self_(self), options_(options) {}

  // Quarantines the fingerprint; returns the record to send to other hosts.
  QuarantineRecord Quarantine(const Fingerprint& fingerprint,
                              std::chrono::milliseconds duration,
                              MonotonicTime now);
  // Ends a quarantine and sets `record` to the release to send to other hosts.
  // Returns false if the fingerprint is not quarantined.
  bool Release(const Fingerprint& fingerprint,
               MonotonicTime now,
               QuarantineRecord* record);

  // Merges another host's decision; returns true if it was newer than the local
  // one.
  bool Merge(const QuarantineRecord& record, MonotonicTime now);

  bool IsQuarantined(const Fingerprint& fingerprint, MonotonicTime now) const;

  // All decisions that have not expired, including releases.
  std::vector<QuarantineRecord> Records(MonotonicTime now) const;

  // A hash of all decisions that have not expired. Hosts with equal digests do
  // not need to exchange records.
  std::uint64_t Digest(MonotonicTime now) const;

  void Expire(MonotonicTime now);
  std::size_t size() const { return decisions_.size(); }

 private:
  struct Decision {
    std::uint64_t version = 0;
    bool is_quarantined = true;
    Incarnation origin;
    MonotonicTime expires_at;
  };

  QuarantineRecord Decide(const Fingerprint& fingerprint,
                          bool is_quarantined,
                          std::chrono::milliseconds duration,
                          MonotonicTime now);
  void EvictIfFull(MonotonicTime now);

  Incarnation self_;
  Options options_;
  std::unordered_map<Fingerprint, Decision> decisions_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_CRASHES_QUARANTINE_LIST_H_
