#ifndef FLAMINGOGAUGE_LIBS_ROLLOUTS_EVIDENCE_POOL_H_
#define FLAMINGOGAUGE_LIBS_ROLLOUTS_EVIDENCE_POOL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "libs/kernel/time.h"
#include "libs/rollouts/rollout_messages.h"

namespace flamingogauge {

// The end of a request that an upstream has answered or that it kept waiting.
struct AnsweredRequest {
  // Hash of the route's name.
  std::uint64_t route = 0;
  // From sending the request to the end of the answer.
  Duration took{0};
  double prompt_tokens = 0;
  // Events of the stream; 0 for a response that is no stream.
  std::size_t events = 0;
  // True if over half of the upstream's places were taken when it was sent.
  bool was_busy = false;
  // False if the upstream responded with an error or broke off.
  bool succeeded = true;
};

// The bin of an answer: half the octave of its time divided by what is expected
// of a request of its size, so that long answers do not look slow.
std::size_t DurationBin(const AnsweredRequest& request);

// The counts of answers of all hosts. Each host reports its own totals and each
// coordinator the sum over its data centre; a report replaces the earlier one
// of its sender, so that lost and repeated reports do no harm.
class EvidencePool {
 public:
  struct Key {
    std::uint64_t order = 0;
    std::uint64_t route = 0;
    // 0 for the old versions.
    std::uint64_t upstream = 0;

    bool operator<(const Key& other) const {
      return std::tie(order, route, upstream) <
             std::tie(other.order, other.route, other.upstream);
    }
  };
  using Counts = std::map<Key, EvidenceCount>;

  // Counts an answer to a request of this host.
  void Record(std::uint64_t order,
              std::uint64_t upstream,
              const AnsweredRequest& request);

  // Applies the totals of a host of this data centre. Those of its earlier
  // processes are kept.
  void OnHost(const std::string& host,
              std::uint64_t process,
              const std::vector<EvidenceCount>& evidence);
  // Applies the sum of another data centre.
  void OnDataCentre(const std::string& data_centre,
                    const std::vector<EvidenceCount>& evidence);

  // This host's own totals.
  std::vector<EvidenceCount> Own() const;
  // The sum over the hosts that have reported here.
  std::vector<EvidenceCount> Nearby() const;
  // The counts of an order over all hosts, as far as known here: those reported
  // here, or this host's own if there are more of them.
  Counts Of(std::uint64_t order) const;

  // Drops the counts of all orders but these.
  void KeepOnly(const std::vector<std::uint64_t>& orders);

 private:
  struct HostTotals {
    std::uint64_t process = 0;
    Counts counts;
  };

  static void Add(const Counts& counts, Counts& sum);
  Counts SumOfHosts() const;

  Counts own_;
  std::map<std::string, HostTotals> hosts_;
  // Counts of host processes that have ended.
  Counts ended_;
  std::map<std::string, Counts> others_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_ROLLOUTS_EVIDENCE_POOL_H_
