#include "libs/dispatching/rate_limit_shares.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <utility>

#include "libs/model/fingerprint.h"

namespace flamingogauge {
namespace {

// How many data centres may use a limit of so many requests per second: each of
// them may send one request at any time, and so many come close together.
constexpr double kBaseDataCentres = 3;
constexpr double kDataCentresPerRequest = 2;

std::size_t MostDataCentres(double limit) {
  return static_cast<std::size_t>(
      std::min(1e6, kBaseDataCentres + kDataCentresPerRequest * limit));
}

}  // namespace

RateLimitShares::RateLimitShares(std::string data_centre,
                                 std::map<std::string, std::string> regions)
    : data_centre_(std::move(data_centre)), regions_(std::move(regions)) {
  SetSharers({});
}

void RateLimitShares::SetRegions(std::map<std::string, std::string> regions) {
  regions_ = std::move(regions);
}

void RateLimitShares::SetSharers(RateLimitSharers sharers) {
  sharers_ = std::move(sharers);
  sharers_.data_centres.insert(data_centre_);
}

double RateLimitShares::ShareOf(const UpstreamEntry& upstream,
                                double limit) const {
  const std::size_t count =
      std::min(sharers_.data_centres.size(), MostDataCentres(limit));
  if (CountBefore(upstream) >= count) {
    return 0;
  }
  return 1.0 / static_cast<double>(count) /
         static_cast<double>(std::max<std::size_t>(1, sharers_.nearby));
}

std::size_t RateLimitShares::CountBefore(const UpstreamEntry& upstream) const {
  const auto region_of = [this](const std::string& data_centre) {
    const auto it = regions_.find(data_centre);
    return it == regions_.end() ? data_centre : it->second;
  };
  const auto rank = [&](const std::string& data_centre) {
    return std::tuple(data_centre != upstream.data_centre,
                      region_of(data_centre) != region_of(upstream.data_centre),
                      ComputeContentHash(upstream.id + "\n" + data_centre).low);
  };
  const auto own = rank(data_centre_);
  return static_cast<std::size_t>(
      std::count_if(sharers_.data_centres.begin(), sharers_.data_centres.end(),
                    [&](const std::string& it) { return rank(it) < own; }));
}

}  // namespace flamingogauge
