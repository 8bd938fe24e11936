#include "plugins/gateway/upstream_connections.h"

#include <utility>

namespace flamingogauge {

UpstreamConnections::UpstreamConnections(boost::asio::io_context& context,
                                         std::string request_id_header)
    : context_(context), request_id_header_(std::move(request_id_header)) {}

std::shared_ptr<UpstreamConnection> UpstreamConnections::Acquire(
    const std::string& address,
    const std::string& request_id,
    MonotonicTime now) {
  auto& idle = idle_[address];
  while (!idle.empty()) {
    std::shared_ptr<UpstreamConnection> connection = std::move(idle.back());
    idle.pop_back();
    if (connection->is_open() && now < connection->usable_until() &&
        connection->request_id() != request_id) {
      return connection;
    }
    connection->Cancel();
  }
  ++opened_;
  return std::make_shared<UpstreamConnection>(
      context_,
      UpstreamConnectionOptions{.address = address,
                                .request_id_header = request_id_header_},
      [this](const std::shared_ptr<UpstreamConnection>& connection) {
        Release(connection);
      });
}

void UpstreamConnections::Release(
    const std::shared_ptr<UpstreamConnection>& connection) {
  idle_[connection->address()].push_back(connection);
}

void UpstreamConnections::CloseExpired(MonotonicTime now) {
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second, [now](const auto& connection) {
      const bool expired =
          !connection->is_open() || now >= connection->usable_until();
      if (expired) {
        connection->Cancel();
      }
      return expired;
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

void UpstreamConnections::CloseOthers(const std::set<std::string>& addresses) {
  std::erase_if(idle_, [&addresses](const auto& it) {
    if (addresses.contains(it.first)) {
      return false;
    }
    for (const auto& connection : it.second) {
      connection->Cancel();
    }
    return true;
  });
}

void UpstreamConnections::Probe(const std::string& address,
                                ConnectProbe::Handler handler) {
  std::vector<ConnectProbe::Handler>& handlers = probes_[address];
  handlers.push_back(std::move(handler));
  if (handlers.size() > 1) {
    return;
  }
  ++opened_;
  const auto probe =
      std::make_shared<ConnectProbe>(context_, [this, address](bool accepts) {
        const auto waiting = probes_.extract(address);
        for (const ConnectProbe::Handler& it : waiting.mapped()) {
          it(accepts);
        }
      });
  probe->Start(address);
}

}  // namespace flamingogauge
