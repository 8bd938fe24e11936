#include "libs/http_framing/output_buffer.h"

#include <utility>

namespace flamingogauge {
namespace {

// Written bytes are removed in parts of this size, so that each byte is moved
// only a few times.
constexpr std::size_t kCompactBytes = 65536;

}  // namespace

void OutputBuffer::Append(std::string bytes) {
  if (empty()) {
    bytes_ = std::move(bytes);
    written_ = 0;
    return;
  }
  bytes_ += bytes;
}

void OutputBuffer::Consume(std::size_t n) {
  written_ += n;
  if (empty()) {
    Clear();
  } else if (written_ >= kCompactBytes) {
    bytes_.erase(0, std::exchange(written_, 0));
  }
}

void OutputBuffer::Clear() {
  std::string().swap(bytes_);
  written_ = 0;
}

}  // namespace flamingogauge
