#ifndef FLAMINGOGAUGE_PLUGINS_PEERS_PEERS_SHARED_H_
#define FLAMINGOGAUGE_PLUGINS_PEERS_PEERS_SHARED_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "libs/model/member.h"
#include "libs/services/membership_view.h"
#include "libs/services/peer_transport.h"

namespace flamingogauge {

// State shared between the peers thread and the threads that call the plugin.
class PeersShared {
 public:
  void SetHandler(std::string channel, PeerTransport::Handler handler);
  // Returns the handler of a channel, empty when there is none.
  PeerTransport::Handler FindHandler(const std::string& channel) const;

  void AddListener(MembershipView::Listener listener);

  // Publishes a new list; called on the peers thread.
  void Publish(std::shared_ptr<const MemberList> members);
  std::shared_ptr<const MemberList> Current() const;

  // TakeNewListeners returns the listeners added since its last call. Listeners
  // returns those that TakeNewListeners has already returned.
  std::vector<MembershipView::Listener> TakeNewListeners();
  std::vector<MembershipView::Listener> Listeners() const;

  std::atomic<std::uint64_t> document_revision{0};
  // Counters for the state dump.
  std::atomic<std::uint64_t> calls_sent{0};
  std::atomic<std::uint64_t> calls_failed{0};
  std::atomic<std::uint64_t> calls_received{0};
  std::atomic<std::uint64_t> replies_lost{0};
  std::atomic<std::uint64_t> connections_opened{0};
  std::atomic<std::uint64_t> connections_accepted{0};
  std::atomic<std::uint64_t> open_connections{0};
  std::atomic<std::uint64_t> bytes_sent{0};
  std::atomic<std::uint64_t> bytes_received{0};
  std::atomic<std::uint64_t> segments_sent{0};
  std::atomic<std::uint64_t> segments_received{0};

 private:
  mutable std::mutex mutex_;
  std::map<std::string, PeerTransport::Handler> handlers_;
  std::vector<MembershipView::Listener> listeners_;
  std::size_t called_listeners_ = 0;
  std::shared_ptr<const MemberList> members_ =
      std::make_shared<const MemberList>();
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_PEERS_PEERS_SHARED_H_
