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
  // The time between two reports to hosts of other data centres, while there
  // are few of them.
  std::chrono::milliseconds remote_interval{200};
};

// Decides which hosts get a report. Hosts of the same data centre get each one.
// In another data centre that has few hosts all of them get it; in a larger one
// a single host, another one each time, which forwards it to those beside it.
// So the datagrams between data centres, which are paid by volume, grow with
// the number of hosts times that of data centres, and what each host hears a
// second has an upper bound.
class ReportFanout {
 public:
  explicit ReportFanout(ReportFanoutOptions options);

  void SetHosts(const std::vector<HostEntry>& hosts);
  // The time between two reports to other data centres while these are few.
  void SetRemoteInterval(std::chrono::milliseconds interval) {
    options_.remote_interval = interval;
  }

  // The addresses of the other hosts of this data centre.
  const std::vector<std::string>& LocalAddresses() const { return near_; }
  // How long after a change of the load the hosts of this data centre hear of
  // it. Short, so that several hosts rarely choose the same free place; longer
  // among many hosts, so that what a host sends them has a bound.
  std::chrono::milliseconds LoadReportDelay() const;
  // The addresses in other data centres that get the next report.
  std::vector<std::string> NextRemoteAddresses();
  // The time between two reports to other data centres.
  std::chrono::milliseconds RemoteInterval() const;
  // How long the newest report of a host counts: several may be lost.
  std::chrono::milliseconds ReportLifetime() const;

  // True for the first report of the process with this number or a higher one.
  bool IsNewer(const std::string& host,
               std::uint64_t process,
               std::uint64_t sequence);
  // True when a report of that host, received from itself, has to be forwarded
  // to the other hosts of this data centre.
  bool MustForward(const std::string& host) const;

 private:
  struct Heard {
    std::uint64_t process = 0;
    std::uint64_t sequence = 0;
  };

  ReportFanoutOptions options_;
  std::vector<std::string> near_;
  // Addresses by data centre, without this host's.
  std::map<std::string, std::vector<std::string>> remote_;
  std::map<std::string, std::string> data_centre_of_;
  std::map<std::string, Heard> heard_;
  std::size_t round_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_REPORT_FANOUT_H_
