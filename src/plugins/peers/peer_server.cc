#include "plugins/peers/peer_server.h"

#include <capnp/rpc-twoparty.h>
#include <openssl/crypto.h>

#include <utility>

namespace flamingogauge {
namespace {

wire::CallStatus ToCallStatus(ErrorCode code) {
  switch (code) {
    case ErrorCode::kNotFound:
      return wire::CallStatus::NOT_FOUND;
    case ErrorCode::kUnavailable:
      return wire::CallStatus::UNAVAILABLE;
    case ErrorCode::kResourceExhausted:
      return wire::CallStatus::RESOURCE_EXHAUSTED;
    case ErrorCode::kInvalidArgument:
      return wire::CallStatus::INVALID_ARGUMENT;
    default:
      return wire::CallStatus::INTERNAL;
  }
}

// Compares tokens of equal length in constant time.
bool IsSameToken(kj::StringPtr presented, const std::string& token) {
  return presented.size() == token.size() &&
         CRYPTO_memcmp(presented.begin(), token.data(), token.size()) == 0;
}

constexpr auto kIdleLimit = 60 * kj::SECONDS;

// Resolves when `server` has received no request for kIdleLimit.
kj::Promise<void> WaitUntilIdle(PeerServer& server, kj::Timer& timer) {
  const std::uint64_t before = server.requests();
  return timer.afterDelay(kIdleLimit).then([&server, &timer, before] {
    return server.requests() == before ? kj::Promise<void>(kj::READY_NOW)
                                       : WaitUntilIdle(server, timer);
  });
}

// Owns the objects of one accepted connection; the stream is destroyed last.
class AcceptedConnection {
 public:
  AcceptedConnection(kj::Own<kj::AsyncIoStream> stream,
                     kj::Own<PeerServer> server,
                     TrafficMeter& meter)
      : stream_(kj::mv(stream), meter),
        network_(*stream_,
                 capnp::rpc::twoparty::Side::SERVER,
                 PeerReaderOptions()),
        rpc_(capnp::makeRpcServer(network_,
                                  wire::Peer::Client(kj::mv(server)))) {
    DisableNagle(*stream_);
  }

  kj::Promise<void> OnDisconnect() { return network_.onDisconnect(); }

 private:
  MeteredStream stream_;
  capnp::TwoPartyVatNetwork network_;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc_;
};

}  // namespace

kj::Promise<void> PeerServer::hello(HelloContext context) {
  ++requests_;
  if (!IsSameToken(context.getParams().getToken(), token_)) {
    KJ_FAIL_REQUIRE("the peer token does not match");
  }
  caller_ = ReadHostInfo(context.getParams().getCaller());
  is_authenticated_ = true;
  WriteHostInfo(self_, context.getResults().initCallee());
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::call(CallContext context) {
  KJ_REQUIRE(is_authenticated_, "call received before a successful hello");
  ++requests_;
  const auto params = context.getParams();
  const auto bytes = params.getPayload().asChars();
  std::string channel = params.getChannel().cStr();
  std::string payload(bytes.begin(), bytes.size());
  context.releaseParams();
  return dispatch_(caller_, std::move(channel), std::move(payload))
      .then([context](CallResult result) mutable {
        auto results = context.getResults();
        if (result) {
          const std::string& reply = result.value();
          results.setPayload(
              kj::StringPtr(reply.c_str(), reply.size()).asBytes());
          return;
        }
        results.setStatus(ToCallStatus(result.error().code));
        results.setMessage(ToString(result.error()));
      });
}

kj::Promise<void> ServeConnection(kj::Own<kj::AsyncIoStream> stream,
                                  kj::Own<PeerServer> server,
                                  TrafficMeter& meter,
                                  kj::Timer& timer) {
  // The connection owns the server, and is destroyed after both promises.
  auto silence = WaitUntilIdle(*server, timer);
  auto connection =
      kj::heap<AcceptedConnection>(kj::mv(stream), kj::mv(server), meter);
  auto ended = connection->OnDisconnect().exclusiveJoin(kj::mv(silence));
  return ended.attach(kj::mv(connection));
}

}  // namespace flamingogauge
