#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_READ_BUFFER_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_READ_BUFFER_H_

#include <array>
#include <cstddef>

namespace flamingogauge {

inline constexpr std::size_t kReadBufferBytes = 65536;

// The buffer into which all connections of one thread read, one after another;
// an idle connection holds no memory for input.
inline std::array<char, kReadBufferBytes>& ReadBuffer() {
  thread_local std::array<char, kReadBufferBytes> buf;
  return buf;
}

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_READ_BUFFER_H_
