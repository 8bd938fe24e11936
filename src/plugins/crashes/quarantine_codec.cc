#include "plugins/crashes/quarantine_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>
#include <chrono>

#include "protocol/crashes.capnp.h"

namespace flamingogauge {
namespace {

// The longest quarantine that the settings and the document allow.
constexpr std::uint64_t kMaxTimeLeftMs = 8ULL * 24 * 3600 * 1000;

}  // namespace

std::string EncodeExchange(const QuarantineExchange& exchange) {
  capnp::MallocMessageBuilder message;
  auto to = message.initRoot<wire::QuarantineExchange>();
  to.setDigest(exchange.digest);
  to.setForward(exchange.forward);
  auto records = to.initRecords(static_cast<unsigned>(exchange.records.size()));
  for (unsigned n = 0; n < exchange.records.size(); ++n) {
    const QuarantineRecord& it = exchange.records[n];
    records[n].initFingerprint().setHigh(it.fingerprint.high);
    records[n].getFingerprint().setLow(it.fingerprint.low);
    records[n].setVersion(it.version);
    records[n].setIsQuarantined(it.is_quarantined);
    records[n].initOrigin().setHigh(it.origin.high);
    records[n].getOrigin().setLow(it.origin.low);
    records[n].setTimeLeftMs(static_cast<std::uint64_t>(it.time_left.count()));
  }
  kj::VectorOutputStream output;
  capnp::writePackedMessage(output, message);
  const auto chars = output.getArray().asChars();
  return {chars.begin(), chars.size()};
}

Result<QuarantineExchange> DecodeExchange(const std::string& bytes) {
  try {
    kj::ArrayInputStream input(
        kj::StringPtr(bytes.c_str(), bytes.size()).asBytes());
    capnp::PackedMessageReader reader(input);
    const auto from = reader.getRoot<wire::QuarantineExchange>();
    QuarantineExchange exchange{.digest = from.getDigest(),
                                .forward = from.getForward(),
                                .records = {}};
    for (const auto& it : from.getRecords()) {
      const auto time_left = std::min(it.getTimeLeftMs(), kMaxTimeLeftMs);
      exchange.records.push_back(
          {.fingerprint = {.high = it.getFingerprint().getHigh(),
                           .low = it.getFingerprint().getLow()},
           .version = it.getVersion(),
           .is_quarantined = it.getIsQuarantined(),
           .origin = {.high = it.getOrigin().getHigh(),
                      .low = it.getOrigin().getLow()},
           .time_left = std::chrono::milliseconds(
               static_cast<std::int64_t>(time_left))});
    }
    return exchange;
  } catch (const kj::Exception& exception) {
    return Error{.code = ErrorCode::kInvalidArgument,
                 .step = "decode quarantine records",
                 .peer = {},
                 .message = exception.getDescription().cStr()};
  }
}

}  // namespace flamingogauge
