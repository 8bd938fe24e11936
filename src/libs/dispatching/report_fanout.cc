#include "libs/dispatching/report_fanout.h"

#include <algorithm>
#include <utility>

#include "libs/model/fingerprint.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// All hosts of another data centre get a report if it has no more than this.
constexpr std::size_t kMaxDirectHosts = 4;
// Reports of hosts in other data centres that one host hears, at most.
constexpr double kMaxRemoteReportsPerSecond = 150;
constexpr milliseconds kMinLoadReportDelay{15};
// Datagrams about changes of the load that a host sends nearby, at most.
constexpr double kMaxLoadReportsPerSecond = 200;
constexpr milliseconds kMinLifetime{1500};
// Reports that may be lost or late in a row.
constexpr int kIntervalsInLifetime = 4;

// The time between two reports at which one to each host keeps to the rate.
milliseconds ShortestInterval(std::size_t hosts, double reports_per_second) {
  return milliseconds(static_cast<std::int64_t>(static_cast<double>(hosts) *
                                                1000 / reports_per_second));
}

}  // namespace

ReportFanout::ReportFanout(ReportFanoutOptions options)
    : options_(std::move(options)),
      // Hosts that start together should not choose the same receivers.
      round_(ComputeContentHash(options_.host).low % 1024) {}

void ReportFanout::SetHosts(const std::vector<HostEntry>& hosts) {
  near_.clear();
  remote_.clear();
  data_centre_of_.clear();
  for (const HostEntry& it : hosts) {
    data_centre_of_[it.name] = it.data_centre;
    if (it.name == options_.host) {
      continue;
    }
    if (it.data_centre == options_.data_centre) {
      near_.push_back(it.report_address);
    } else {
      remote_[it.data_centre].push_back(it.report_address);
    }
  }
  std::erase_if(heard_, [this](const auto& it) {
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
                  ShortestInterval(near_.size(), kMaxLoadReportsPerSecond));
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
  Heard& heard = heard_[host];
  if (heard.process == process && sequence <= heard.sequence) {
    return false;
  }
  heard = {.process = process, .sequence = sequence};
  return true;
}

bool ReportFanout::MustForward(const std::string& host) const {
  const auto it = data_centre_of_.find(host);
  return it != data_centre_of_.end() && it->second != options_.data_centre &&
         near_.size() + 1 > kMaxDirectHosts;
}

}  // namespace flamingogauge
