#include "libs/claims/claim_sweeper.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <iterator>
#include <utility>

#include "libs/model/rendezvous.h"

namespace flamingogauge {
namespace {

constexpr std::size_t kPrefixes = 256;

std::string PrefixName(std::size_t prefix) {
  std::array<char, 16> buf{};
  std::snprintf(buf.data(), buf.size(), "claims/%02zx", prefix);
  return buf.data();
}

}  // namespace

std::optional<SweepAction> ClaimSweeper::OnTime(
    MonotonicTime now,
    const HostId& self,
    const std::vector<HostId>& live_hosts) {
  if (outstanding_ || now < next_call_ || live_hosts.empty()) {
    return std::nullopt;
  }
  const std::chrono::duration<double> interval(
      static_cast<double>(live_hosts.size()) / options_.total_calls_per_second);
  next_call_ = now + std::chrono::duration_cast<Duration>(interval);
  if (expired_version_) {
    outstanding_ = true;
    return DeleteClaimAction{
        .key = current_key_,
        .expected_version = *std::exchange(expired_version_, std::nullopt)};
  }
  if (!keys_.empty()) {
    outstanding_ = true;
    current_key_ = std::move(keys_.front());
    keys_.pop_front();
    return ReadClaimKeyAction{.key = current_key_};
  }
  const std::string prefix = PrefixName(prefix_);
  prefix_ = (prefix_ + 1) % kPrefixes;
  if (RendezvousFirst(prefix, live_hosts) != self) {
    // Skipping a prefix of another host needs no store call.
    next_call_ = now;
    return std::nullopt;
  }
  outstanding_ = true;
  return ListClaimsAction{.prefix = prefix};
}

void ClaimSweeper::OnListed(std::vector<std::string> keys) {
  outstanding_ = false;
  keys_.assign(std::make_move_iterator(keys.begin()),
               std::make_move_iterator(keys.end()));
}

void ClaimSweeper::OnRead(std::optional<std::uint64_t> expired_version) {
  outstanding_ = false;
  expired_version_ = expired_version;
}

void ClaimSweeper::OnDeleted() {
  outstanding_ = false;
}

}  // namespace flamingogauge
