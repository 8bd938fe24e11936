#ifndef FLAMINGOGAUGE_PLUGINS_PEERS_PEERS_PLUGIN_H_
#define FLAMINGOGAUGE_PLUGINS_PEERS_PEERS_PLUGIN_H_

#include <memory>

#include "libs/kernel/plugin.h"
#include "libs/services/membership_view.h"
#include "libs/services/peer_transport.h"
#include "plugins/peers/peers_settings.h"

namespace flamingogauge {

// Reads the settings from gflags; they are checked by Initialize.
PeersSettings PeersSettingsFromFlags();

// Connects this host to the other entry hosts: provides calls between hosts and
// the membership list. Also works as a single host without peers.
class PeersPlugin : public Plugin, public PeerTransport, public MembershipView {
 public:
  explicit PeersPlugin(PeersSettings settings);
  ~PeersPlugin() override;

  std::string_view Name() const override { return "peers"; }
  // Binds the listen address, so that Self() is complete afterwards.
  Result<void> Initialize(ServiceRegistry& registry) override;
  Result<void> ExtensionsInitialized(ServiceRegistry& registry) override;
  void AboutToShutdown(std::function<void()> done) override;
  std::string DumpState() const override;

  // The port on which this host listens, chosen by the kernel if the settings
  // say 0. Known after Initialize.
  int ListenPort() const;

  // PeerTransport.
  void Handle(std::string channel, Handler handler) override;
  void Call(HostId host,
            std::string channel,
            std::string payload,
            std::chrono::milliseconds time_limit,
            ReplyCallback callback) override;

  // MembershipView.
  const Member& Self() const override;
  std::shared_ptr<const MemberList> Current() const override;
  void Subscribe(Listener listener) override;
  void SetDocumentRevision(std::uint64_t revision) override;
  void AnnounceLeaving() override;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_PEERS_PEERS_PLUGIN_H_
