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

// The quarantine list and its replication to other hosts. Thread-safe. Held by
// shared pointers, because replies may arrive after the plugin is destroyed.
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

  // Sends the list's digest to a random other host for comparison. Returns
  // false if there is no other host.
  bool CompareWithRandomHost();

  // Answers another host's exchange.
  Result<std::string> Answer(const HostId& from, const std::string& payload);

  std::uint64_t messages_sent() const { return messages_sent_; }
  std::uint64_t messages_failed() const { return messages_failed_; }

 private:
  // Merges the records and returns those that were new.
  std::vector<QuarantineRecord> Merge(
      const std::vector<QuarantineRecord>& records);
  std::uint64_t Digest() const;
  // Sends the records to the hosts of this data centre and, if
  // `to_all_data_centres`, to two hosts of each other one, which forward them.
  void Broadcast(const std::vector<QuarantineRecord>& records,
                 bool to_all_data_centres);
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
