#include "libs/directory/source_policy.h"

#include <algorithm>
#include <set>
#include <utility>

#include "libs/fleet/host_order.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// Limits the doubling of the avoidance.
constexpr int kMaxDoublings = 10;

RelayPeer PeerOf(const HostEntry& host) {
  return {.name = host.name, .address = host.relay_address};
}

}  // namespace

SourcePolicy::SourcePolicy(SourcePolicyOptions options)
    : options_(std::move(options)) {}

void SourcePolicy::SetHosts(const std::vector<HostEntry>& hosts) {
  std::vector<HostEntry> order = OrderHosts(hosts);
  std::erase_if(order,
                [](const HostEntry& it) { return it.relay_address.empty(); });
  better_.clear();
  others_.clear();
  std::vector<RelayPeer> remote;
  std::set<std::string> data_centres;
  // A host that is not listed yet comes last.
  bool after_self = false;
  for (const HostEntry& it : order) {
    if (it.name == options_.host) {
      after_self = true;
    } else if (it.data_centre == options_.data_centre) {
      (after_self ? others_ : better_).push_back(PeerOf(it));
    } else if (data_centres.insert(it.data_centre).second) {
      remote.push_back(PeerOf(it));
    }
  }
  rank_ = better_.size();
  others_.insert(others_.end(), remote.begin(), remote.end());
  std::set<std::string> known;
  for (const HostEntry& it : order) {
    known.insert(it.name);
  }
  std::erase_if(states_,
                [&known](const auto& it) { return !known.contains(it.first); });
}

void SourcePolicy::OnReply(const std::string& peer,
                           bool follows_store,
                           MonotonicTime now) {
  if (follows_store) {
    states_[peer] = {};
    return;
  }
  RecordFailure(peer, options_.idle_avoidance, now);
}

void SourcePolicy::OnFailure(const std::string& peer, MonotonicTime now) {
  const int doublings = std::min(states_[peer].failures, kMaxDoublings);
  RecordFailure(peer,
                std::min(options_.max_avoidance,
                         options_.min_avoidance * (1 << doublings)),
                now);
}

void SourcePolicy::OnNotListed(const std::string& peer, MonotonicTime now) {
  RecordFailure(peer, options_.unlisted_time, now);
  unlisted_until_ = now + options_.unlisted_time;
}

void SourcePolicy::RecordFailure(const std::string& peer,
                                 milliseconds avoidance,
                                 MonotonicTime now) {
  PeerState& state = states_[peer];
  ++state.failures;
  state.avoid_until = now + avoidance;
  next_question_at_ = now + options_.ask_spacing;
  UpdateLack(now);
}

void SourcePolicy::UpdateLack(MonotonicTime now) {
  if (FindSource(better_, now) != nullptr && IsFresh(now)) {
    lacking_since_.reset();
  } else if (!lacking_since_) {
    lacking_since_ = now;
  }
}

bool SourcePolicy::IsFresh(MonotonicTime now) const {
  return confirmed_at_ != MonotonicTime() &&
         now - confirmed_at_ <= options_.fresh_limit;
}

milliseconds SourcePolicy::TakeoverDelay() const {
  const auto rank = static_cast<milliseconds::rep>(rank_);
  return options_.takeover_delay * rank * rank;
}

SourceDecision SourcePolicy::Decide(MonotonicTime now) {
  SourceDecision decision;
  UpdateLack(now);
  decision.use_store =
      rank_ == 0 || now < unlisted_until_ ||
      (lacking_since_ && now - *lacking_since_ >= TakeoverDelay());
  if (now < unlisted_until_ || now < next_question_at_) {
    return decision;
  }
  const RelayPeer* source = FindSource(better_, now);
  if (const RelayPeer* probe = FindProbe(source, now)) {
    decision.probe = *probe;
  }
  if (source == nullptr) {
    source = FindSubstitute(decision.use_store, now);
  }
  if (source != nullptr) {
    decision.peer = *source;
  }
  if (decision.probe == decision.peer) {
    decision.probe.reset();
  }
  return decision;
}

MonotonicTime SourcePolicy::WakeAt(MonotonicTime now) const {
  MonotonicTime at = MonotonicTime::max();
  const auto consider = [&at, now](MonotonicTime time) {
    if (time > now) {
      at = std::min(at, time);
    }
  };
  consider(confirmed_at_ + options_.fresh_limit);
  consider(next_question_at_);
  consider(unlisted_until_);
  if (lacking_since_) {
    consider(*lacking_since_ + TakeoverDelay());
  }
  for (const auto& [name, state] : states_) {
    consider(state.avoid_until);
  }
  return at;
}

SourcePolicy::PeerStanding SourcePolicy::StandingOf(const RelayPeer& peer,
                                                    MonotonicTime now) const {
  const auto it = states_.find(peer.name);
  if (it == states_.end()) {
    return PeerStanding::kUnknown;
  }
  if (it->second.failures == 0) {
    return PeerStanding::kTrusted;
  }
  return now < it->second.avoid_until ? PeerStanding::kFailed
                                      : PeerStanding::kRetryDue;
}

const RelayPeer* SourcePolicy::FindFirst(const std::vector<RelayPeer>& peers,
                                         PeerStanding standing,
                                         MonotonicTime now) const {
  const auto it = std::find_if(peers.begin(), peers.end(),
                               [this, standing, now](const RelayPeer& peer) {
                                 return StandingOf(peer, now) == standing;
                               });
  return it == peers.end() ? nullptr : &*it;
}

const RelayPeer* SourcePolicy::FindSource(const std::vector<RelayPeer>& peers,
                                          MonotonicTime now) const {
  const RelayPeer* trusted = FindFirst(peers, PeerStanding::kTrusted, now);
  return trusted != nullptr ? trusted
                            : FindFirst(peers, PeerStanding::kUnknown, now);
}

const RelayPeer* SourcePolicy::FindProbe(const RelayPeer* source,
                                         MonotonicTime now) const {
  for (const RelayPeer& it : better_) {
    if (&it == source) {
      return nullptr;
    }
    const PeerStanding standing = StandingOf(it, now);
    if (standing == PeerStanding::kRetryDue ||
        standing == PeerStanding::kUnknown) {
      return &it;
    }
  }
  return nullptr;
}

const RelayPeer* SourcePolicy::FindSubstitute(bool use_store,
                                              MonotonicTime now) const {
  if (use_store && !store_failing_) {
    return nullptr;
  }
  if (const RelayPeer* due = FindFirst(better_, PeerStanding::kRetryDue, now)) {
    return due;
  }
  if (!store_failing_) {
    return nullptr;
  }
  const RelayPeer* other = FindSource(others_, now);
  return other != nullptr ? other
                          : FindFirst(others_, PeerStanding::kRetryDue, now);
}

}  // namespace flamingogauge
