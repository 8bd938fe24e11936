#include "plugins/peers/peer_connection.h"

#include <capnp/message.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <utility>

namespace flamingogauge {
namespace {

constexpr std::size_t kWordsPerMessage = 2 * kMaxPayloadBytes / 8;

wire::Peer::Client Bootstrap(
    capnp::RpcSystem<capnp::rpc::twoparty::VatId>& rpc) {
  capnp::MallocMessageBuilder message;
  auto vat_id = message.getRoot<capnp::rpc::twoparty::VatId>();
  vat_id.setSide(capnp::rpc::twoparty::Side::SERVER);
  return rpc.bootstrap(vat_id).castAs<wire::Peer>();
}

ErrorCode ToErrorCode(wire::CallStatus status) {
  switch (status) {
    case wire::CallStatus::UNKNOWN_CHANNEL:
    case wire::CallStatus::NOT_FOUND:
      return ErrorCode::kNotFound;
    case wire::CallStatus::UNAVAILABLE:
      return ErrorCode::kUnavailable;
    case wire::CallStatus::RESOURCE_EXHAUSTED:
      return ErrorCode::kResourceExhausted;
    case wire::CallStatus::INVALID_ARGUMENT:
      return ErrorCode::kInvalidArgument;
    case wire::CallStatus::OK:
    case wire::CallStatus::INTERNAL:
      break;
  }
  return ErrorCode::kInternal;
}

CallResult ReadResults(wire::Peer::CallResults::Reader results,
                       const std::string& peer) {
  if (results.getStatus() == wire::CallStatus::OK) {
    const auto bytes = results.getPayload().asChars();
    return std::string(bytes.begin(), bytes.size());
  }
  return Error{.code = ToErrorCode(results.getStatus()),
               .step = "call peer",
               .peer = peer,
               .message = results.getMessage().cStr()};
}

}  // namespace

capnp::ReaderOptions PeerReaderOptions() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kWordsPerMessage;
  return options;
}

void DisableNagle(kj::AsyncIoStream& stream) {
  const int on = 1;
  stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void WriteHostInfo(const Member& self, wire::HostInfo::Builder builder) {
  builder.setHost(self.host);
  builder.setDataCentre(self.data_centre);
  builder.setRegion(self.region);
  builder.setAddress(self.peer_address);
  builder.getIncarnation().setHigh(self.incarnation.high);
  builder.getIncarnation().setLow(self.incarnation.low);
}

Member ReadHostInfo(wire::HostInfo::Reader reader) {
  return {.host = reader.getHost().cStr(),
          .data_centre = reader.getDataCentre().cStr(),
          .region = reader.getRegion().cStr(),
          .peer_address = reader.getAddress().cStr(),
          .incarnation = {.high = reader.getIncarnation().getHigh(),
                          .low = reader.getIncarnation().getLow()}};
}

PeerConnection::PeerConnection(kj::Own<kj::AsyncIoStream> stream,
                               TrafficMeter& meter)
    : stream_(kj::mv(stream), meter),
      network_(*stream_,
               capnp::rpc::twoparty::Side::CLIENT,
               PeerReaderOptions()),
      rpc_(capnp::makeRpcClient(network_)),
      client_(Bootstrap(rpc_)) {
  DisableNagle(*stream_);
}

kj::Promise<kj::Own<PeerConnection>> PeerConnection::Open(
    kj::Network& network,
    const std::string& address,
    const std::string& token,
    const Member& self,
    TrafficMeter& meter) {
  return network.parseAddress(address.c_str())
      .then([](kj::Own<kj::NetworkAddress> parsed) {
        auto connected = parsed->connect();
        return connected.attach(kj::mv(parsed));
      })
      .then([token, self, &meter](kj::Own<kj::AsyncIoStream> stream) {
        auto connection = kj::refcounted<PeerConnection>(kj::mv(stream), meter);
        auto greeted = connection->SayHello(token, self);
        return greeted.then([connection = kj::mv(connection)]() mutable {
          return kj::mv(connection);
        });
      });
}

kj::Promise<void> PeerConnection::SayHello(const std::string& token,
                                           const Member& self) {
  auto request = client_.helloRequest();
  request.setToken(token);
  WriteHostInfo(self, request.initCaller());
  return request.send().then(
      [this](auto&& response) { peer_ = ReadHostInfo(response.getCallee()); });
}

kj::Promise<CallResult> PeerConnection::Call(const std::string& channel,
                                             const std::string& payload) {
  auto request = client_.callRequest();
  request.setChannel(channel);
  request.setPayload(kj::StringPtr(payload.c_str(), payload.size()).asBytes());
  return request.send().then([self = kj::addRef(*this)](auto&& response) {
    return ReadResults(response, self->peer_.host);
  });
}

}  // namespace flamingogauge
