#ifndef FLAMINGOGAUGE_LIBS_HTTP_FRAMING_OUTPUT_BUFFER_H_
#define FLAMINGOGAUGE_LIBS_HTTP_FRAMING_OUTPUT_BUFFER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace flamingogauge {

// Bytes that wait to be written to a connection. Occupies no memory while it is
// empty.
class OutputBuffer {
 public:
  void Append(std::string bytes);
  // Removes the first `n` bytes, which have been written.
  void Consume(std::size_t n);
  void Clear();

  bool empty() const { return bytes_.size() == written_; }
  std::size_t size() const { return bytes_.size() - written_; }
  // The memory in use, in bytes; at least size().
  std::size_t held_bytes() const { return empty() ? 0 : bytes_.capacity(); }
  // Valid until the next change.
  std::string_view bytes() const {
    return std::string_view(bytes_).substr(written_);
  }

 private:
  std::string bytes_;
  // Bytes at the beginning that have been written.
  std::size_t written_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_HTTP_FRAMING_OUTPUT_BUFFER_H_
