#include "libs/dispatching/report_fanout.h"

#include <algorithm>
#include <utility>

#include "libs/model/fingerprint.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// A report is sent to all hosts of another data centre that has at most this
// many; a larger one gets it through one host that forwards it.
constexpr std::size_t kMaxDirectHosts = 4;
// Upper bound of the reports that one host receives from other data centres.
constexpr double kMaxRemoteReportsPerSecond = 150;
constexpr milliseconds kMinLoadReportDelay{15};
// Upper bound of the load reports that a host sends within its data centre.
constexpr double kMaxLoadReportsPerSecond = 200;
constexpr milliseconds kMinLifetime{1500};
// Consecutive reports that may be lost or late before a host's load expires.
constexpr int kIntervalsInLifetime = 4;

// The shortest interval at which one report to each of `hosts` stays within
// `reports_per_second`.
milliseconds ShortestInterval(std::size_t hosts, double reports_per_second) {
  return milliseconds(static_cast<std::int64_t>(static_cast<double>(hosts) *
                                                1000 / reports_per_second));
}

}  // namespace

ReportFanout::ReportFanout(ReportFanoutOptions options)
    : options_(std::move(options)),
      // Starts at an offset that depends on the host, so that hosts that start
      // at the same time choose different receivers.
      round_(ComputeContentHash(options_.host).low % 1024) {}

void ReportFanout::SetHosts(const std::vector<HostEntry>& hosts) {
  local_.clear();
  remote_.clear();
  data_centre_of_.clear();
  for (const HostEntry& it : hosts) {
    data_centre_of_[it.name] = it.data_centre;
    if (it.name == options_.host) {
      continue;
    }
    if (it.data_centre == options_.data_centre) {
      local_.push_back(it.report_address);
    } else {
      remote_[it.data_centre].push_back(it.report_address);
    }
  }
  std::erase_if(last_reports_, [this](const auto& it) {
    return !data_centre_of_.contains(it.first);
  });
}

std::vector<std::string> ReportFanout::NextRemoteAddresses() {
  std::vector<std::string> addresses;
  ++round_;
  for (const auto& [data_centre, hosts] : remote_) {
    if (hosts.size() <= kMaxDirectHosts) {
      addresses.insert(addresses.end(), hosts.begin(), hosts.end());
    } else {
      addresses.push_back(hosts[round_ % hosts.size()]);
    }
  }
  return addresses;
}

milliseconds ReportFanout::LoadReportDelay() const {
  return std::max(kMinLoadReportDelay,
                  ShortestInterval(local_.size(), kMaxLoadReportsPerSecond));
}

milliseconds ReportFanout::RemoteInterval() const {
  std::size_t remote_hosts = 0;
  for (const auto& [data_centre, hosts] : remote_) {
    remote_hosts += hosts.size();
  }
  return std::max(options_.remote_interval,
                  ShortestInterval(remote_hosts, kMaxRemoteReportsPerSecond));
}

milliseconds ReportFanout::ReportLifetime() const {
  return std::max(kMinLifetime, RemoteInterval() * kIntervalsInLifetime);
}

bool ReportFanout::IsNewer(const std::string& host,
                           std::uint64_t process,
                           std::uint64_t sequence) {
  LastReport& last = last_reports_[host];
  if (last.process == process && sequence <= last.sequence) {
    return false;
  }
  last = {.process = process, .sequence = sequence};
  return true;
}

bool ReportFanout::MustForward(const std::string& host) const {
  const auto it = data_centre_of_.find(host);
  return it != data_centre_of_.end() && it->second != options_.data_centre &&
         local_.size() + 1 > kMaxDirectHosts;
}

}  // namespace flamingogauge
