#include "plugins/peers/peers_shared.h"

#include <utility>

namespace flamingogauge {

void PeersShared::SetHandler(std::string channel,
                             PeerTransport::Handler handler) {
  std::lock_guard<std::mutex> lock(mutex_);
  handlers_[std::move(channel)] = std::move(handler);
}

PeerTransport::Handler PeersShared::FindHandler(
    const std::string& channel) const {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto it = handlers_.find(channel);
  return it == handlers_.end() ? PeerTransport::Handler() : it->second;
}

void PeersShared::AddListener(MembershipView::Listener listener) {
  std::lock_guard<std::mutex> lock(mutex_);
  listeners_.push_back(std::move(listener));
}

void PeersShared::Publish(std::shared_ptr<const MemberList> members) {
  std::lock_guard<std::mutex> lock(mutex_);
  members_ = std::move(members);
}

std::shared_ptr<const MemberList> PeersShared::Current() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return members_;
}

std::vector<MembershipView::Listener> PeersShared::TakeNewListeners() {
  std::lock_guard<std::mutex> lock(mutex_);
  std::vector<MembershipView::Listener> added(
      listeners_.begin() + static_cast<std::ptrdiff_t>(called_listeners_),
      listeners_.end());
  called_listeners_ = listeners_.size();
  return added;
}

std::vector<MembershipView::Listener> PeersShared::Listeners() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return {listeners_.begin(),
          listeners_.begin() + static_cast<std::ptrdiff_t>(called_listeners_)};
}

}  // namespace flamingogauge
