#ifndef FLAMINGOGAUGE_LIBS_DIRECTORY_SOURCE_POLICY_H_
#define FLAMINGOGAUGE_LIBS_DIRECTORY_SOURCE_POLICY_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/fleet/host_entry.h"
#include "libs/kernel/time.h"

namespace flamingogauge {

struct SourcePolicyOptions {
  std::string host;
  std::string data_centre;
  // The age up to which a confirmation of the routing document is normal. With
  // an older one, this host looks for another source.
  std::chrono::milliseconds fresh_limit{2000};
  // How long a host that does not reply is avoided, at first and at most; the
  // time doubles with each failure.
  std::chrono::milliseconds min_avoidance{100};
  std::chrono::milliseconds max_avoidance{4000};
  // How long a host that does not follow the store is avoided.
  std::chrono::milliseconds idle_avoidance{1000};
  // The time between a reply that did not help and the next question.
  std::chrono::milliseconds ask_spacing{50};
  // The host of rank n starts to read the store n * n times this after it found
  // no better host that reads it. Few hosts therefore ask a store that is away,
  // and those of low rank take over at once.
  std::chrono::milliseconds takeover_delay{20};
  // How long a host that is not yet listed at the others reads the store.
  std::chrono::milliseconds unlisted_time{3000};
};

// Another host that may be asked for what it has read from the store.
struct RelayPeer {
  std::string name;
  std::string address;

  bool operator==(const RelayPeer&) const = default;
};

// Where a host gets the routing document and the tables from.
struct SourceDecision {
  // True if this host reads the store itself.
  bool use_store = false;
  // The host to ask for news.
  std::optional<RelayPeer> peer;
  // A further host to ask whether it reads the store.
  std::optional<RelayPeer> probe;
};

// Decides whether a host reads the platform's store itself or asks another host
// that does. Calls to the store are limited and billed, so that only the first
// host of each data centre reads it in normal operation: the one with the
// largest capacity, in an order that all hosts compute alike. If that host
// fails, is cut off or is refused by the store, the next in order takes over,
// without any agreement: hosts that disagree for a while only read the store
// once more than needed.
class SourcePolicy {
 public:
  explicit SourcePolicy(SourcePolicyOptions options);

  void SetFreshLimit(std::chrono::milliseconds limit) {
    options_.fresh_limit = limit;
  }
  void SetHosts(const std::vector<HostEntry>& hosts);
  // The time that the routing document was last confirmed.
  void OnConfirmed(MonotonicTime confirmed_at) { confirmed_at_ = confirmed_at; }
  void SetStoreFailing(bool failing) { store_failing_ = failing; }
  void OnReply(const std::string& peer, bool follows_store, MonotonicTime now);
  void OnFailure(const std::string& peer, MonotonicTime now);
  // The peer refused because its list of hosts does not have this one.
  void OnNotListed(const std::string& peer, MonotonicTime now);

  SourceDecision Decide(MonotonicTime now);
  // The time at which Decide may return something else without an event.
  MonotonicTime WakeAt(MonotonicTime now) const;

  bool IsFresh(MonotonicTime now) const;
  // The position of this host in the order of its data centre; 0 is the first.
  std::size_t rank() const { return rank_; }

 private:
  struct PeerState {
    // Consecutive failures; 0 after a reply that helped.
    int failures = 0;
    MonotonicTime avoid_until;
  };

  // What is known of a peer: one that was not asked yet is worth asking, one
  // that failed is asked again after the time for which it is avoided.
  enum class PeerStanding { kUnknown, kTrusted, kFailed, kRetryDue };

  PeerStanding StandingOf(const RelayPeer& peer, MonotonicTime now) const;
  const RelayPeer* FindFirst(const std::vector<RelayPeer>& peers,
                             PeerStanding standing,
                             MonotonicTime now) const;
  // Returns a trusted peer or, if there is none, one that was not asked yet.
  const RelayPeer* FindSource(const std::vector<RelayPeer>& peers,
                              MonotonicTime now) const;
  // Returns a better host than `source` that may have become a source.
  const RelayPeer* FindProbe(const RelayPeer* source, MonotonicTime now) const;
  // Returns the peer to ask while none of the better hosts is a source.
  const RelayPeer* FindSubstitute(bool use_store, MonotonicTime now) const;
  void RecordFailure(const std::string& peer,
                     std::chrono::milliseconds avoidance,
                     MonotonicTime now);
  // Notes since when a source or a fresh confirmation is missing.
  void UpdateLack(MonotonicTime now);
  std::chrono::milliseconds TakeoverDelay() const;

  SourcePolicyOptions options_;
  std::size_t rank_ = 0;
  // The hosts of this data centre that come before this one, in order.
  std::vector<RelayPeer> better_;
  // The hosts of this data centre that come after this one, and then the first
  // host of each other data centre.
  std::vector<RelayPeer> others_;
  std::map<std::string, PeerState> states_;
  MonotonicTime confirmed_at_;
  bool store_failing_ = false;
  // Since when there has been no source or no fresh confirmation.
  std::optional<MonotonicTime> lacking_since_;
  MonotonicTime unlisted_until_;
  MonotonicTime next_question_at_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DIRECTORY_SOURCE_POLICY_H_
