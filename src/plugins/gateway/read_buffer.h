#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_READ_BUFFER_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_READ_BUFFER_H_

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>

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

// Reads the available bytes of a non-blocking socket. The buffer is shared by
// all connections of a thread, so that idle connections need no memory for
// input; the returned bytes are valid until the next call.
inline std::string_view ReadAvailable(boost::asio::ip::tcp::socket& socket,
                                      boost::system::error_code& ec) {
  thread_local std::array<char, kReadBufferBytes> buf;
  return {buf.data(), socket.read_some(boost::asio::buffer(buf), ec)};
}

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_READ_BUFFER_H_
