#ifndef FLAMINGOGAUGE_LIBS_CLAIMS_CLAIM_SWEEPER_H_
#define FLAMINGOGAUGE_LIBS_CLAIMS_CLAIM_SWEEPER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libs/kernel/time.h"
#include "libs/model/ids.h"

namespace flamingogauge {

struct ListClaimsAction {
  std::string prefix;
};
struct ReadClaimKeyAction {
  std::string key;
};
struct DeleteClaimAction {
  std::string key;
  std::uint64_t expected_version = 0;
};

using SweepAction =
    std::variant<ListClaimsAction, ReadClaimKeyAction, DeleteClaimAction>;

struct ClaimSweeperOptions {
  // Store calls per second of all hosts together for the sweep: a tenth of the
  // reads that the store can serve.
  double total_calls_per_second = 200;
};

// Deletes claims whose retention has expired. The claims are partitioned by key
// prefix, and each prefix is swept by the host that ranks first for it in
// rendezvous hashing. At most one store call is outstanding at a time. Two
// hosts may sweep the same prefix concurrently, because deletion is conditional
// on the version that was read.
class ClaimSweeper {
 public:
  explicit ClaimSweeper(ClaimSweeperOptions options) : options_(options) {}

  // Returns the next call when one is due. `live_hosts` includes `self`.
  std::optional<SweepAction> OnTime(MonotonicTime now,
                                    const HostId& self,
                                    const std::vector<HostId>& live_hosts);

  // The outstanding list ended; empty after an error.
  void OnListed(std::vector<std::string> keys);

  // The outstanding read ended. `expired_version` is set when the retention of
  // the claim has expired.
  void OnRead(std::optional<std::uint64_t> expired_version);

  // The outstanding delete ended, with or without success.
  void OnDeleted();

 private:
  ClaimSweeperOptions options_;
  bool outstanding_ = false;
  MonotonicTime next_call_;
  std::size_t prefix_ = 0;
  std::deque<std::string> keys_;
  std::string current_key_;
  std::optional<std::uint64_t> expired_version_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_CLAIMS_CLAIM_SWEEPER_H_
