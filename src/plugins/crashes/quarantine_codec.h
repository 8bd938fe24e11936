#ifndef FLAMINGOGAUGE_PLUGINS_CRASHES_QUARANTINE_CODEC_H_
#define FLAMINGOGAUGE_PLUGINS_CRASHES_QUARANTINE_CODEC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libs/crashes/quarantine_list.h"
#include "libs/kernel/error.h"

namespace flamingogauge {

// A message between two hosts; see crashes.capnp.
struct QuarantineExchange {
  std::uint64_t digest = 0;
  bool forward = false;
  std::vector<QuarantineRecord> records;
};

std::string EncodeExchange(const QuarantineExchange& exchange);

// Returns kInvalidArgument for malformed input.
Result<QuarantineExchange> DecodeExchange(const std::string& bytes);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CRASHES_QUARANTINE_CODEC_H_
