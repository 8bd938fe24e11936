#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_REPORT_FANOUT_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_REPORT_FANOUT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libs/fleet/host_entry.h"
#include "libs/kernel/time.h"

namespace flamingogauge {

struct ReportFanoutOptions {
  std::string host;
  std::string data_centre;
  // The interval of reports to hosts of other data centres while there are few
  // of them.
  std::chrono::milliseconds remote_interval{200};
};

// Selects the recipients of a host's reports. All hosts of the same data centre
// get every report. In another data centre with few hosts, all of them get it;
// in a larger one, a single host, chosen round-robin, gets it and forwards it
// to the others. The traffic between data centres, which is billed by volume,
// therefore grows with the number of hosts times the number of data centres,
// and the number of reports that a host receives per second is bounded.
class ReportFanout {
 public:
  explicit ReportFanout(ReportFanoutOptions options);

  void SetHosts(const std::vector<HostEntry>& hosts);
  // Sets the report interval to other data centres that applies while these
  // have few hosts.
  void SetRemoteInterval(std::chrono::milliseconds interval) {
    options_.remote_interval = interval;
  }

  // The addresses of the other hosts of this data centre.
  const std::vector<std::string>& LocalAddresses() const { return local_; }
  // The delay between a load change and its report to the hosts of this data
  // centre. Short, so that several hosts rarely choose the same free slot;
  // longer with many hosts, so that the send rate is bounded.
  std::chrono::milliseconds LoadReportDelay() const;
  // The addresses in other data centres to send the next report to.
  std::vector<std::string> NextRemoteAddresses();
  // The interval of reports to other data centres.
  std::chrono::milliseconds RemoteInterval() const;
  // How long the newest report of a host stays valid. Covers several reports,
  // as some may be lost.
  std::chrono::milliseconds ReportLifetime() const;

  // Returns true and records the report unless one with this or a higher
  // sequence number has been received from the same process.
  bool IsNewer(const std::string& host,
               std::uint64_t process,
               std::uint64_t sequence);
  // Returns true if a report received directly from `host` has to be forwarded
  // to the other hosts of this data centre.
  bool MustForward(const std::string& host) const;

 private:
  struct LastReport {
    std::uint64_t process = 0;
    std::uint64_t sequence = 0;
  };

  ReportFanoutOptions options_;
  std::vector<std::string> local_;
  // Addresses in other data centres, by data centre.
  std::map<std::string, std::vector<std::string>> remote_;
  std::map<std::string, std::string> data_centre_of_;
  std::map<std::string, LastReport> last_reports_;
  std::size_t round_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_REPORT_FANOUT_H_
