#include "libs/membership/round.h"

#include <algorithm>

namespace flamingogauge {

Round::Round(const std::vector<HostId>& expected,
             const Options& options,
             MonotonicTime now)
    : options_(options),
      deadline_(now + options.time_limit),
      missing_(expected.begin(), expected.end()) {}

void Round::OnAnswer(const HostId& host) {
  missing_.erase(host);
}

void Round::OnLiveMembers(const std::vector<HostId>& live) {
  const std::set<HostId> present(live.begin(), live.end());
  std::erase_if(missing_, [&present](const HostId& host) {
    return present.count(host) == 0;
  });
}

RoundState Round::Update(MonotonicTime now) {
  if (state_ != RoundState::kOpen) {
    return state_;
  }
  if (missing_.empty() && options_.ends_when_all_answered) {
    state_ = RoundState::kAllAnswered;
  } else if (now >= deadline_) {
    state_ =
        missing_.empty() ? RoundState::kAllAnswered : RoundState::kTimeLimit;
  }
  return state_;
}

}  // namespace flamingogauge
