#include "libs/rollouts/evidence_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace flamingogauge {
namespace {

// What an answer takes at an average upstream: a fixed part, and one for each
// prompt token and each event. Answers are only compared with others of their
// route, so that the scale does not matter.
constexpr double kFixedSeconds = 0.05;
constexpr double kSecondsPerPromptToken = 1.0 / 55000;
constexpr double kSecondsPerEvent = 0.03;
// The lowest bin holds answers that took an eighth of that, or less.
constexpr double kLowestOctave = -3;
constexpr double kBinsPerOctave = 2;

EvidencePool::Key KeyOf(const EvidenceCount& count) {
  return {
      .order = count.order, .route = count.route, .upstream = count.upstream};
}

EvidencePool::Counts ToCounts(const std::vector<EvidenceCount>& evidence) {
  EvidencePool::Counts counts;
  for (const EvidenceCount& it : evidence) {
    counts[KeyOf(it)] = it;
  }
  return counts;
}

std::vector<EvidenceCount> ToList(const EvidencePool::Counts& counts) {
  std::vector<EvidenceCount> list;
  list.reserve(counts.size());
  for (const auto& [key, count] : counts) {
    list.push_back(count);
  }
  return list;
}

std::uint64_t AnswersOf(const EvidencePool::Counts& counts) {
  std::uint64_t answers = 0;
  for (const auto& [key, count] : counts) {
    answers += count.answers;
  }
  return answers;
}

}  // namespace

std::size_t DurationBin(const AnsweredRequest& request) {
  const double expected =
      kFixedSeconds + request.prompt_tokens * kSecondsPerPromptToken +
      static_cast<double>(request.events) * kSecondsPerEvent;
  const double ratio = std::max(ToSeconds(request.took), 1e-6) / expected;
  const double octave =
      std::floor((std::log2(ratio) - kLowestOctave) * kBinsPerOctave);
  return static_cast<std::size_t>(
      std::clamp(octave, 0.0, static_cast<double>(kDurationBins - 1)));
}

void EvidencePool::Record(std::uint64_t order,
                          std::uint64_t upstream,
                          const AnsweredRequest& request) {
  // Busy upstreams are slower, so that their answers are compared with those of
  // busy ones only.
  const std::uint64_t route =
      (request.route & ~kBusyBit) | (request.was_busy ? kBusyBit : 0);
  EvidenceCount& count =
      own_[{.order = order, .route = route, .upstream = upstream}];
  count.order = order;
  count.route = route;
  count.upstream = upstream;
  ++count.answers;
  if (request.succeeded) {
    ++count.durations[DurationBin(request)];
  } else {
    ++count.failures;
  }
}

void EvidencePool::OnHost(const std::string& host,
                          std::uint64_t process,
                          const std::vector<EvidenceCount>& evidence) {
  HostTotals& totals = hosts_[host];
  if (totals.process != process) {
    Add(totals.counts, ended_);
    totals = {.process = process};
  }
  if (!evidence.empty()) {
    totals.counts = ToCounts(evidence);
  }
}

void EvidencePool::OnDataCentre(const std::string& data_centre,
                                const std::vector<EvidenceCount>& evidence) {
  if (!evidence.empty()) {
    others_[data_centre] = ToCounts(evidence);
  }
}

void EvidencePool::Add(const Counts& counts, Counts& sum) {
  for (const auto& [key, count] : counts) {
    EvidenceCount& total = sum[key];
    total.order = key.order;
    total.route = key.route;
    total.upstream = key.upstream;
    total.answers += count.answers;
    total.failures += count.failures;
    for (std::size_t n = 0; n < kDurationBins; ++n) {
      total.durations[n] += count.durations[n];
    }
  }
}

EvidencePool::Counts EvidencePool::SumOfHosts() const {
  Counts sum = ended_;
  for (const auto& [host, totals] : hosts_) {
    Add(totals.counts, sum);
  }
  return sum;
}

std::vector<EvidenceCount> EvidencePool::Own() const {
  return ToList(own_);
}

std::vector<EvidenceCount> EvidencePool::Nearby() const {
  return ToList(SumOfHosts());
}

EvidencePool::Counts EvidencePool::Of(std::uint64_t order) const {
  Counts sum = SumOfHosts();
  for (const auto& [data_centre, counts] : others_) {
    Add(counts, sum);
  }
  const auto is_other = [order](const auto& it) {
    return it.first.order != order;
  };
  std::erase_if(sum, is_other);
  Counts own = own_;
  std::erase_if(own, is_other);
  return AnswersOf(own) > AnswersOf(sum) ? own : sum;
}

void EvidencePool::KeepOnly(const std::vector<std::uint64_t>& orders) {
  const auto is_old = [&orders](const auto& it) {
    return std::find(orders.begin(), orders.end(), it.first.order) ==
           orders.end();
  };
  std::erase_if(own_, is_old);
  std::erase_if(ended_, is_old);
  for (auto& [host, totals] : hosts_) {
    std::erase_if(totals.counts, is_old);
  }
  for (auto& [data_centre, counts] : others_) {
    std::erase_if(counts, is_old);
  }
}

}  // namespace flamingogauge
