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

// One decision about a fingerprint, as hosts tell it to each other.
struct QuarantineRecord {
  Fingerprint fingerprint;
  // Rises with each decision about the fingerprint that its maker knew of.
  std::uint64_t version = 0;
  // False when an operator released the fingerprint.
  bool is_quarantined = true;
  // The process that decided.
  Incarnation origin;
  // How much longer the decision is kept.
  std::chrono::milliseconds time_left{0};
};

// The decisions of all hosts. Merging is idempotent and does not depend on the
// order of arrival: the higher version wins, at the same version quarantine
// wins over release, then the higher origin. A decision never lives longer by
// being told again.
class QuarantineList {
 public:
  struct Options {
    std::size_t max_records = 4096;
    // Added to the life of a release, so that it outlives the decision that it
    // ends on hosts that have not heard of it.
    std::chrono::milliseconds release_margin{60000};
  };

  QuarantineList(Incarnation self, const Options& options)
      : self_(self), options_(options) {}

  // Decides for this host; the result is to be told to the others.
  QuarantineRecord Quarantine(const Fingerprint& fingerprint,
                              std::chrono::milliseconds duration,
                              MonotonicTime now);
  // Returns false when the fingerprint is not in quarantine.
  bool Release(const Fingerprint& fingerprint,
               MonotonicTime now,
               QuarantineRecord* record);

  // Takes over another host's decision; true when it is new to this host.
  bool Merge(const QuarantineRecord& record, MonotonicTime now);

  bool IsQuarantined(const Fingerprint& fingerprint, MonotonicTime now) const;

  // All decisions that have not expired, releases included.
  std::vector<QuarantineRecord> Records(MonotonicTime now) const;

  // A hash of all decisions; hosts with equal digests need not exchange them.
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
  void MakeRoom(MonotonicTime now);

  Incarnation self_;
  Options options_;
  std::unordered_map<Fingerprint, Decision> decisions_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_CRASHES_QUARANTINE_LIST_H_
