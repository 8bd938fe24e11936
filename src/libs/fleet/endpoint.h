#ifndef FLAMINGOGAUGE_LIBS_FLEET_ENDPOINT_H_
#define FLAMINGOGAUGE_LIBS_FLEET_ENDPOINT_H_

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <optional>
#include <string>

namespace flamingogauge {

// Parses "ip:port" as a TCP or UDP endpoint; returns nullopt for other text.
template <typename Endpoint>
std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  unsigned short port = 0;
  const char* begin = text.data() + colon + 1;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(begin, end, port);
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(text.substr(0, colon), ec);
  if (ec || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return Endpoint(address, port);
}

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_FLEET_ENDPOINT_H_
