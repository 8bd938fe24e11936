#include "plugins/peers/peers_settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>

namespace flamingogauge {
namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMinQueueCapacity = 16;
constexpr std::size_t kMaxQueueCapacity = 1U << 20;
constexpr std::chrono::milliseconds kMinHostListInterval{1000};
constexpr std::chrono::milliseconds kMaxHostListInterval{3600000};

Error Invalid(const std::string& flag,
              const std::string& value,
              const std::string& allowed) {
  return Error{.code = ErrorCode::kInvalidArgument,
               .step = "check settings",
               .peer = "--" + flag,
               .message = "value \"" + value + "\"; allowed: " + allowed};
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

bool IsLoopback(const SocketAddress& address) {
  return address.ip.starts_with("127.") || address.ip == "::1";
}

}  // namespace

Result<SocketAddress> ParseSocketAddress(const std::string& text) {
  const auto invalid = [&text] {
    return Error{.code = ErrorCode::kInvalidArgument,
                 .step = "parse address",
                 .peer = text,
                 .message = "expected ip:port"};
  };
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return invalid();
  }
  SocketAddress address{.ip = text.substr(0, colon)};
  if (address.ip.size() > 2 && address.ip.front() == '[' &&
      address.ip.back() == ']') {
    address.ip = address.ip.substr(1, address.ip.size() - 2);
    address.is_ipv6 = true;
  }
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto [end, ec] = std::from_chars(first, last, address.port);
  std::array<unsigned char, sizeof(in6_addr)> buf{};
  const int family = address.is_ipv6 ? AF_INET6 : AF_INET;
  if (ec != std::errc{} || end != last || first == last ||
      inet_pton(family, address.ip.c_str(), buf.data()) != 1) {
    return invalid();
  }
  return address;
}

std::string ToString(const SocketAddress& address) {
  const std::string port = ":" + std::to_string(address.port);
  return address.is_ipv6 ? "[" + address.ip + "]" + port : address.ip + port;
}

Result<void> CheckPeersSettings(const PeersSettings& settings) {
  constexpr char kNameRule[] = "1 to 64 letters, digits, '-', '_' or '.'";
  if (!IsName(settings.host)) {
    return Invalid("host_id", settings.host, kNameRule);
  }
  if (!IsName(settings.data_centre)) {
    return Invalid("data_centre", settings.data_centre, kNameRule);
  }
  if (!IsName(settings.region)) {
    return Invalid("region", settings.region, kNameRule);
  }
  const Result<SocketAddress> listen =
      ParseSocketAddress(settings.listen_address);
  if (!listen) {
    return Invalid("peer_listen", settings.listen_address,
                   "an IP address and a port, port 0 for any");
  }
  if (!settings.advertised_address.empty() &&
      !ParseSocketAddress(settings.advertised_address)) {
    return Invalid("peer_advertise", settings.advertised_address,
                   "an IP address and a port, or empty");
  }
  for (const std::string& it : settings.seeds) {
    const Result<SocketAddress> seed = ParseSocketAddress(it);
    if (!seed || seed.value().port == 0) {
      return Invalid("peer_seeds", it,
                     "a comma-separated list of ip:port, port 1 to 65535");
    }
  }
  if (settings.token.empty() && !IsLoopback(listen.value())) {
    return Invalid("peer_token", "",
                   "a secret, unless the listen address is a loopback address");
  }
  if (settings.host_list_interval < kMinHostListInterval ||
      settings.host_list_interval > kMaxHostListInterval) {
    return Invalid("host_list_interval_ms",
                   std::to_string(settings.host_list_interval.count()),
                   "1000 to 3600000");
  }
  if (settings.queue_capacity < kMinQueueCapacity ||
      settings.queue_capacity > kMaxQueueCapacity) {
    return Invalid("peer_queue_capacity",
                   std::to_string(settings.queue_capacity),
                   std::to_string(kMinQueueCapacity) + " to " +
                       std::to_string(kMaxQueueCapacity));
  }
  return boost::outcome_v2::success();
}

}  // namespace flamingogauge
