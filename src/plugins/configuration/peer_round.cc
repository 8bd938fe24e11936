#include "plugins/configuration/peer_round.h"

#include <map>
#include <utility>

#include "libs/document/manifest.h"
#include "libs/model/rendezvous.h"
#include "plugins/configuration/configuration_messages.h"

namespace flamingogauge {

void PeerRound::Run(CoreContext& context,
                    const std::vector<HostId>& hosts,
                    Callback callback) {
  const std::shared_ptr<PeerRound> round(
      new PeerRound(hosts.size(), std::move(callback)));
  if (hosts.empty()) {
    round->Finish();
    return;
  }
  const std::chrono::milliseconds time_limit =
      context.settings.boot_round_time_limit;
  for (const HostId& host : hosts) {
    context.transport->Call(
        host, kConfigurationChannel, EncodePeerRequest({}), time_limit,
        OnRunner<std::string>(context,
                              [round, host](const Result<std::string>& it) {
                                round->OnReply(host, it);
                              }));
  }
  RunAfter(context, time_limit, [round] { round->Finish(); });
}

PeerRound::PeerRound(std::size_t expected, Callback callback)
    : expected_(expected), callback_(std::move(callback)) {}

void PeerRound::OnReply(const HostId& host,
                        const Result<std::string>& payload) {
  std::optional<PeerReply> reply =
      payload ? DecodePeerReply(payload.value()) : std::nullopt;
  const std::optional<Manifest> manifest =
      reply ? ReadManifest(reply->manifest) : std::nullopt;
  if (manifest && manifest->revision > best_.revision) {
    best_ = {.text = std::move(reply->manifest),
             .source = host,
             .revision = manifest->revision};
  }
  if (--expected_ == 0) {
    Finish();
  }
}

void PeerRound::Finish() {
  if (!callback_) {
    return;
  }
  const Callback callback = std::exchange(callback_, nullptr);
  callback(std::move(best_));
}

std::vector<HostId> BootRoundHosts(const CoreContext& context) {
  std::vector<HostId> hosts;
  if (context.membership == nullptr || context.transport == nullptr) {
    return hosts;
  }
  const Member& self = context.membership->Self();
  std::map<DataCentreId, std::vector<HostId>> others;
  // Keeps the list alive, because the peers thread may publish a new one.
  const std::shared_ptr<const MemberList> list = context.membership->Current();
  for (const Member& it : *list) {
    if (it.host == self.host || it.state == MemberState::kDead) {
      continue;
    }
    if (it.data_centre == self.data_centre) {
      hosts.push_back(it.host);
    } else {
      others[it.data_centre].push_back(it.host);
    }
  }
  for (const auto& [data_centre, members] : others) {
    hosts.push_back(RendezvousFirst(self.host, members));
  }
  return hosts;
}

}  // namespace flamingogauge
