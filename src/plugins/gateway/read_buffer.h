#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_READ_BUFFER_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_READ_BUFFER_H_

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <string_view>

namespace flamingogauge {

inline constexpr std::size_t kReadBufferBytes = 65536;

// Returns true if a non-blocking call has to be retried later.
inline bool WouldBlock(const boost::system::error_code& ec) {
  return ec == boost::asio::error::would_block ||
         ec == boost::asio::error::try_again;
}

// Reads the available bytes of a non-blocking socket, `max_bytes` at most. All
// connections of a thread share the buffer, so that idle connections need no
// memory for input; the returned bytes are valid until the next call.
inline std::string_view ReadAvailable(
    boost::asio::ip::tcp::socket& socket,
    boost::system::error_code& ec,
    std::size_t max_bytes = kReadBufferBytes) {
  thread_local std::array<char, kReadBufferBytes> buf;
  const std::size_t room = std::min(max_bytes, buf.size());
  return {buf.data(),
          socket.read_some(boost::asio::buffer(buf.data(), room), ec)};
}

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_READ_BUFFER_H_
