#include "plugins/directory/relay_connection.h"

#include <arpa/inet.h>
#include <capnp/message.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <utility>

namespace flamingogauge {
namespace {

// Limits the memory that one message can take; the routing document has 4 MB at
// most.
constexpr std::uint64_t kMaxMessageWords = 4U << 20U;
// A connection whose other end no longer acknowledges is closed after this.
constexpr int kUnacknowledgedLimitMs = 3000;
constexpr int kKeepAliveIntervalSeconds = 2;

capnp::ReaderOptions MessageLimits() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxMessageWords;
  return options;
}

// Replies are short and awaited; a lost peer is noticed without traffic.
void ConfigureStream(kj::AsyncIoStream& stream) {
  const auto set = [&stream](int level, int name, int value) {
    stream.setsockopt(level, name, &value, sizeof(value));
  };
  set(IPPROTO_TCP, TCP_NODELAY, 1);
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIntervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedLimitMs);
}

// Fetches the other end's interface. Not possible once the connection has
// ended.
wire::DirectoryRelay::Client Bootstrap(
    capnp::RpcSystem<capnp::rpc::twoparty::VatId>& rpc) {
  capnp::MallocMessageBuilder message;
  auto vat_id = message.getRoot<capnp::rpc::twoparty::VatId>();
  vat_id.setSide(capnp::rpc::twoparty::Side::SERVER);
  return rpc.bootstrap(vat_id).castAs<wire::DirectoryRelay>();
}

}  // namespace

std::string PeerIpOf(kj::AsyncIoStream& stream) {
  sockaddr_in address{};
  kj::uint length = sizeof(address);
  stream.getpeername(reinterpret_cast<sockaddr*>(&address), &length);
  std::array<char, INET_ADDRSTRLEN> text{};
  if (address.sin_family != AF_INET ||
      inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size()) ==
          nullptr) {
    return "";
  }
  return text.data();
}

RelayConnection::RelayConnection(kj::Own<kj::AsyncIoStream> stream)
    : stream_(kj::mv(stream)),
      network_(*stream_, capnp::rpc::twoparty::Side::CLIENT, MessageLimits()),
      rpc_(capnp::makeRpcClient(network_)),
      client_(Bootstrap(rpc_)) {
  ConfigureStream(*stream_);
}

RelayConnection::RelayConnection(kj::Own<kj::AsyncIoStream> stream,
                                 wire::DirectoryRelay::Client server)
    : stream_(kj::mv(stream)),
      network_(*stream_, capnp::rpc::twoparty::Side::SERVER, MessageLimits()),
      rpc_(capnp::makeRpcServer(network_, kj::mv(server))),
      client_(nullptr) {
  ConfigureStream(*stream_);
}

kj::Promise<kj::Own<RelayConnection>> RelayConnection::Open(
    kj::Network& network,
    const std::string& address) {
  return network.parseAddress(address.c_str())
      .then([](kj::Own<kj::NetworkAddress> parsed) {
        auto connected = parsed->connect();
        return connected.attach(kj::mv(parsed));
      })
      .then([](kj::Own<kj::AsyncIoStream> stream) {
        return kj::refcounted<RelayConnection>(kj::mv(stream));
      });
}

}  // namespace flamingogauge
