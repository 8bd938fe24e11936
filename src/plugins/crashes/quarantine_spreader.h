#ifndef FLAMINGOGAUGE_PLUGINS_CRASHES_QUARANTINE_SPREADER_H_
#define FLAMINGOGAUGE_PLUGINS_CRASHES_QUARANTINE_SPREADER_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "libs/crashes/quarantine_list.h"
#include "libs/kernel/log.h"
#include "libs/kernel/random.h"
#include "libs/services/membership_view.h"
#include "libs/services/peer_transport.h"
#include "plugins/crashes/quarantine_codec.h"

namespace flamingogauge {

// The list and its spread to other hosts. Safe from any thread. Shared, because
// replies may arrive after the plugin has gone.
class QuarantineSpreader
    : public std::enable_shared_from_this<QuarantineSpreader> {
 public:
  QuarantineSpreader(const QuarantineList::Options& options,
                     PeerTransport* transport,
                     MembershipView* membership);

  void Quarantine(const Fingerprint& fingerprint,
                  std::chrono::milliseconds duration);
  bool Release(const Fingerprint& fingerprint);
  bool IsQuarantined(const Fingerprint& fingerprint) const;
  std::vector<QuarantineRecord> Records() const;

  // Compares the list with that of a random other host; false when there is no
  // other host.
  bool CompareWithAnother();

  // Answers another host's exchange.
  Result<std::string> Answer(const HostId& from, const std::string& payload);

  std::uint64_t messages_sent() const { return messages_sent_; }
  std::uint64_t messages_failed() const { return messages_failed_; }

 private:
  // Merges and returns what was new.
  std::vector<QuarantineRecord> Merge(
      const std::vector<QuarantineRecord>& records);
  std::uint64_t Digest() const;
  // Tells the hosts of this data centre, and with `everywhere` two hosts of
  // each other one, which forward.
  void Tell(const std::vector<QuarantineRecord>& records, bool everywhere);
  void Send(const HostId& host, const QuarantineExchange& exchange);
  void OnReply(const HostId& host, const Result<std::string>& reply);

  PeerTransport* transport_;
  MembershipView* membership_;
  Logger log_{"crashes"};
  mutable std::mutex mutex_;
  QuarantineList list_;
  Random random_;
  std::atomic<std::uint64_t> messages_sent_{0};
  std::atomic<std::uint64_t> messages_failed_{0};
};

// The channel of the exchanges.
inline constexpr char kQuarantineChannel[] = "crashes.quarantine";

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CRASHES_QUARANTINE_SPREADER_H_
