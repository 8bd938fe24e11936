#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>

#include "libs/http_framing/output_buffer.h"

namespace flamingogauge {
namespace {

// Guards against bytes that are lost or repeated when a part of a large buffer
// has been written, and against memory that is kept after the last byte.
TEST_CASE("an output buffer gives its bytes once, in order") {
  for (const std::size_t step : {1000U, 65536U, 1000000U}) {
    CAPTURE(step);
    OutputBuffer buffer;
    std::string expected;
    std::string written;
    for (int n = 0; n < 20; ++n) {
      const std::string part(9973, static_cast<char>('a' + n));
      expected += part;
      buffer.Append(part);
      const std::size_t size = std::min(step, buffer.size());
      written += buffer.bytes().substr(0, size);
      buffer.Consume(size);
    }
    while (!buffer.empty()) {
      const std::size_t size = std::min(step, buffer.size());
      written += buffer.bytes().substr(0, size);
      buffer.Consume(size);
    }
    CHECK(written == expected);
    CHECK(buffer.held_bytes() == 0);
  }
}

// Guards against memory that is occupied beyond the bytes and not accounted.
TEST_CASE("an output buffer accounts the memory it occupies") {
  constexpr std::size_t kReserved = 100000;
  std::string bytes;
  bytes.reserve(kReserved);
  bytes = "a";
  OutputBuffer buffer;
  buffer.Append(std::move(bytes));
  CHECK(buffer.size() == 1);
  CHECK(buffer.held_bytes() >= kReserved);
}

}  // namespace
}  // namespace flamingogauge
