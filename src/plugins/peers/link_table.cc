#include "plugins/peers/link_table.h"

#include <memory>
#include <utility>

namespace flamingogauge {
namespace {

constexpr auto kConnectTimeLimit = 1 * kj::SECONDS;
constexpr auto kPingInterval = 500 * kj::MILLISECONDS;
// A connection with a pending ping is considered dead after this time without
// a reply, even if TCP reports no error.
constexpr auto kSilenceLimit = 1500 * kj::MILLISECONDS;
// Pings continue for this long after the last call. The link itself stays open
// until kIdleLimit.
constexpr auto kPingRetention = 2 * kj::SECONDS;
constexpr auto kIdleLimit = 30 * kj::SECONDS;

// Rejects the promise in whose continuation it is called.
[[noreturn]] void ThrowConnectionError(const char* reason) {
  kj::throwFatalException(KJ_EXCEPTION(FAILED, reason));
}

}  // namespace

LinkTable::LinkTable(kj::AsyncIoContext& io,
                     Member self,
                     std::string token,
                     PeersShared& shared,
                     TrafficMeter& meter)
    : io_(io),
      timer_(io.provider->getTimer()),
      self_(std::move(self)),
      token_(std::move(token)),
      shared_(shared),
      meter_(meter),
      tasks_(*this) {
  tasks_.add(MaintainLinks());
}

void LinkTable::taskFailed(kj::Exception&& exception) {
  log_.Debug(std::string("connection ended: ") +
             exception.getDescription().cStr());
}

kj::Promise<kj::Own<PeerConnection>> LinkTable::GetConnection(
    const std::string& address) {
  Link& link = links_[address];
  if (link.ready.get() != nullptr) {
    return link.ready->addRef();
  }
  KJ_IF_MAYBE (opening, link.opening) {
    return opening->addBranch();
  }
  auto opening = OpenConnection(address).fork();
  auto branch = opening.addBranch();
  link.opening = kj::mv(opening);
  return branch;
}

kj::Promise<kj::Own<PeerConnection>> LinkTable::OpenConnection(
    const std::string& address) {
  auto limit =
      timer_.afterDelay(kConnectTimeLimit)
          .then([]() -> kj::Own<PeerConnection> {
            ThrowConnectionError(
                "connection was not established within the time limit");
          });
  // The link is modified in a later loop iteration, because it must not be
  // destroyed while a continuation of its own promise runs.
  return PeerConnection::Open(io_.provider->getNetwork(), address, token_,
                              self_, meter_)
      .exclusiveJoin(kj::mv(limit))
      .then(
          [this, address](kj::Own<PeerConnection> connection)
              -> kj::Promise<kj::Own<PeerConnection>> {
            ++shared_.connections_opened;
            tasks_.add(kj::evalLater(
                [this, address, opened = connection->addRef()]() mutable {
                  StoreConnection(address, kj::mv(opened));
                }));
            return kj::mv(connection);
          },
          [this, address](kj::Exception&& exception) {
            tasks_.add(
                kj::evalLater([this, address] { links_.erase(address); }));
            return kj::Promise<kj::Own<PeerConnection>>(kj::mv(exception));
          });
}

void LinkTable::StoreConnection(const std::string& address,
                                kj::Own<PeerConnection> opened) {
  Link& link = links_[address];
  link.opening = nullptr;
  link.ready = kj::mv(opened);
  link.last_received = timer_.now();
  link.last_used = timer_.now();
  RemoveOnDisconnect(address, *link.ready);
}

void LinkTable::RemoveOnDisconnect(const std::string& address,
                                   PeerConnection& connection) {
  // kj keeps a reference to a function that is not passed as an rvalue.
  auto remove_link = [this, address, watched = &connection] {
    const auto it = links_.find(address);
    if (it != links_.end() && it->second.ready.get() == watched) {
      links_.erase(it);
    }
  };
  tasks_.add(connection.OnDisconnect()
                 .catch_([](kj::Exception&&) {})
                 .then(std::move(remove_link)));
}

void LinkTable::DropConnection(const std::string& address) {
  const auto it = links_.find(address);
  if (it != links_.end() && it->second.ready.get() != nullptr) {
    links_.erase(it);
  }
}

kj::Promise<CallResult> LinkTable::CallOn(const std::string& address,
                                          kj::Own<PeerConnection> connection,
                                          const std::string& channel,
                                          const std::string& payload) {
  auto result = connection->Call(channel, payload);
  return result.then(
      [this, address, connection = kj::mv(connection)](CallResult outcome) {
        const auto it = links_.find(address);
        if (it != links_.end() && it->second.ready.get() == connection.get()) {
          it->second.last_received = timer_.now();
        }
        return outcome;
      });
}

kj::Promise<CallResult> LinkTable::Call(const std::string& address,
                                        const HostId& expected_host,
                                        const std::string& channel,
                                        const std::string& payload,
                                        std::chrono::milliseconds time_limit) {
  ++shared_.calls_sent;
  const auto was_sent = std::make_shared<bool>(false);
  const std::string peer =
      expected_host.empty() ? address : expected_host + " at " + address;
  // Until the request is passed to a connection, it has certainly not been
  // delivered; afterwards the peer may have executed it.
  const auto failure = [this, was_sent, peer](const std::string& reason) {
    ++shared_.calls_failed;
    return CallResult(
        Error{.code = *was_sent ? ErrorCode::kTimeout : ErrorCode::kUnavailable,
              .step = "call peer",
              .peer = peer,
              .message = reason});
  };
  auto limit = timer_.afterDelay(time_limit.count() * kj::MILLISECONDS)
                   .then([failure, time_limit] {
                     return failure("no answer within " +
                                    std::to_string(time_limit.count()) + " ms");
                   });
  return GetConnection(address)
      .then([this, was_sent, address, channel, payload,
             expected_host](kj::Own<PeerConnection> connection) {
        if (!expected_host.empty() &&
            connection->peer().host != expected_host) {
          ThrowConnectionError("a different host answered at this address");
        }
        *was_sent = true;
        const auto it = links_.find(address);
        if (it != links_.end()) {
          it->second.last_used = timer_.now();
          if (channel != kMembershipChannel) {
            it->second.last_called = timer_.now();
          }
        }
        return CallOn(address, kj::mv(connection), channel, payload);
      })
      .catch_([failure](kj::Exception&& exception) {
        return failure(exception.getDescription().cStr());
      })
      .exclusiveJoin(kj::mv(limit));
}

kj::Promise<void> LinkTable::MaintainLinks() {
  return timer_.afterDelay(kPingInterval).then([this] {
    for (auto it = links_.begin(); it != links_.end();) {
      const auto here = it++;
      if (here->second.ready.get() != nullptr &&
          !MaintainLink(here->first, &here->second)) {
        links_.erase(here);
      }
    }
    return MaintainLinks();
  });
}

bool LinkTable::MaintainLink(const std::string& address, Link* link) {
  const kj::Duration unused = timer_.now() - link->last_used;
  const kj::Duration silence = timer_.now() - link->last_received;
  if (unused > kIdleLimit ||
      (link->is_ping_pending && silence > kSilenceLimit)) {
    return false;
  }
  if (silence < kPingInterval ||
      timer_.now() - link->last_called > kPingRetention ||
      link->is_ping_pending) {
    return true;
  }
  link->is_ping_pending = true;
  auto pinged = [this, address, connection = link->ready.get()] {
    const auto it = links_.find(address);
    if (it != links_.end() && it->second.ready.get() == connection) {
      it->second.is_ping_pending = false;
    }
  };
  tasks_.add(CallOn(address, link->ready->addRef(), kPingChannel, "")
                 .ignoreResult()
                 .then(std::move(pinged)));
  return true;
}

}  // namespace flamingogauge
