#ifndef FLAMINGOGAUGE_TESTS_AUTO_CONFIGURATION_CLUSTER_FIXTURE_H_
#define FLAMINGOGAUGE_TESTS_AUTO_CONFIGURATION_CLUSTER_FIXTURE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/platform/in_memory_object_store.h"
#include "libs/platform/virtual_task_runner.h"
#include "plugins/configuration/configuration_core.h"

namespace flamingogauge {

// Several hosts with the product's configuration core, in virtual time, over
// one store in memory and a network that can be cut.
class Cluster {
 public:
  explicit Cluster(std::uint64_t seed, ConfigurationSettings settings = {});
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;
  ~Cluster();

  // Starts a host, or replaces the process of a running one.
  void StartHost(const HostId& host, const DataCentreId& data_centre);
  void StopHost(const HostId& host);

  // Cuts a host off from the store, or from all other hosts.
  void CutFromStore(const HostId& host, bool is_cut);
  void CutFromPeers(const HostId& host, bool is_cut);

  ConfigurationCore& core(const HostId& host);
  std::vector<HostId> Hosts() const;

  // The revision in force, 0 for none.
  std::uint64_t Revision(const HostId& host);
  bool AllHave(std::uint64_t revision);

  // Runs an edit to its end; fails the test after a minute of virtual time.
  Result<EditOutcome> Apply(const HostId& host, SectionEdit edit);

  // Runs until the condition holds; false after `time_limit`.
  bool RunUntil(const std::function<bool()>& condition, Duration time_limit);

  std::uint64_t PeerCallCount() const { return peer_calls_; }

  std::shared_ptr<VirtualTaskRunner> runner;
  InMemoryObjectStore store;
  // Descriptions of violations: a revision in force that decreased, or two
  // hosts with different content in one revision.
  std::vector<std::string> violations;

 private:
  class Host;

  void PublishMembership();
  bool AreConnected(const HostId& a, const HostId& b) const;

  std::uint64_t next_seed_;
  ConfigurationSettings settings_;
  std::map<HostId, std::unique_ptr<Host>> hosts_;
  // The document that the first host put in force, by revision.
  std::map<std::uint64_t, std::shared_ptr<const Document>> documents_;
  std::uint64_t peer_calls_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_AUTO_CONFIGURATION_CLUSTER_FIXTURE_H_
