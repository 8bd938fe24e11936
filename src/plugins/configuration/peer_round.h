#ifndef FLAMINGOGAUGE_PLUGINS_CONFIGURATION_PEER_ROUND_H_
#define FLAMINGOGAUGE_PLUGINS_CONFIGURATION_PEER_ROUND_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "plugins/configuration/core_context.h"

namespace flamingogauge {

// A manifest and the host that has it in force.
struct OfferedManifest {
  std::string text;
  HostId source;
  std::uint64_t revision = 0;
};

// Asks hosts for the manifests they have in force and returns the one with the
// highest revision, or one with revision 0 when there is none. The round ends
// when all hosts have answered, or at the time limit of the settings.
class PeerRound : public std::enable_shared_from_this<PeerRound> {
 public:
  using Callback = std::function<void(OfferedManifest)>;

  static void Run(CoreContext& context,
                  const std::vector<HostId>& hosts,
                  Callback callback);

 private:
  PeerRound(std::size_t expected, Callback callback);

  void OnReply(const HostId& host, const Result<std::string>& payload);
  void Finish();

  std::size_t expected_;
  Callback callback_;
  OfferedManifest best_;
};

// The hosts that a host without a document asks: all of its data centre and
// one in each other data centre.
std::vector<HostId> BootRoundHosts(const CoreContext& context);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CONFIGURATION_PEER_ROUND_H_
