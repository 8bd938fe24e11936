#include "plugins/configuration/configuration_messages.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/array.h>
#include <kj/exception.h>

#include <cstring>

#include "protocol/configuration.capnp.h"

namespace flamingogauge {
namespace {

std::string ToPayload(capnp::MessageBuilder& message) {
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const kj::ArrayPtr<const char> chars = words.asChars();
  return {chars.begin(), chars.size()};
}

// Decodes the payload with `read`. The payload is copied because Cap'n Proto
// requires word alignment. Returns nothing if the library throws, as it does on
// malformed input.
template <typename Value, typename Function>
std::optional<Value> Decode(const std::string& payload, Function read) {
  std::optional<Value> value;
  const kj::Maybe<kj::Exception> failure = kj::runCatchingExceptions([&] {
    auto words =
        kj::heapArray<capnp::word>(payload.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), payload.data(),
                words.size() * sizeof(capnp::word));
    capnp::FlatArrayMessageReader message(words);
    value = read(message);
  });
  return failure == nullptr ? std::move(value) : std::nullopt;
}

kj::ArrayPtr<const capnp::byte> ToBytes(const std::string& text) {
  return {reinterpret_cast<const capnp::byte*>(text.data()), text.size()};
}

std::string ToText(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

}  // namespace

std::string EncodePeerRequest(const PeerRequest& request) {
  capnp::MallocMessageBuilder message;
  auto list = message.initRoot<wire::ConfigurationRequest>().initChunkHashes(
      static_cast<unsigned>(request.chunk_hashes.size()));
  for (unsigned it = 0; it < list.size(); ++it) {
    list.set(it, request.chunk_hashes[it].c_str());
  }
  return ToPayload(message);
}

std::optional<PeerRequest> DecodePeerRequest(const std::string& payload) {
  return Decode<PeerRequest>(payload, [](capnp::MessageReader& message) {
    PeerRequest request;
    for (const auto it :
         message.getRoot<wire::ConfigurationRequest>().getChunkHashes()) {
      request.chunk_hashes.emplace_back(it.cStr(), it.size());
    }
    return request;
  });
}

std::string EncodePeerReply(const PeerReply& reply) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::ConfigurationReply>();
  root.setManifest(ToBytes(reply.manifest));
  auto list = root.initChunks(static_cast<unsigned>(reply.chunks.size()));
  for (unsigned it = 0; it < list.size(); ++it) {
    list.set(it, ToBytes(reply.chunks[it]));
  }
  return ToPayload(message);
}

std::optional<PeerReply> DecodePeerReply(const std::string& payload) {
  return Decode<PeerReply>(payload, [](capnp::MessageReader& message) {
    const auto root = message.getRoot<wire::ConfigurationReply>();
    PeerReply reply{.manifest = ToText(root.getManifest())};
    for (const auto it : root.getChunks()) {
      reply.chunks.push_back(ToText(it));
    }
    return reply;
  });
}

}  // namespace flamingogauge
