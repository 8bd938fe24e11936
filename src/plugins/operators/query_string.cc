#include "plugins/operators/query_string.h"

#include <algorithm>
#include <charconv>

namespace flamingogauge {
namespace {

std::string Decode(std::string_view text) {
  std::string decoded;
  for (std::size_t it = 0; it < text.size(); ++it) {
    unsigned char value = 0;
    if (text[it] == '%' && it + 2 < text.size() &&
        std::from_chars(text.data() + it + 1, text.data() + it + 3, value, 16)
                .ptr == text.data() + it + 3) {
      decoded += static_cast<char>(value);
      it += 2;
    } else {
      decoded += text[it] == '+' ? ' ' : text[it];
    }
  }
  return decoded;
}

}  // namespace

std::optional<std::string> QueryValue(std::string_view query,
                                      std::string_view name) {
  while (!query.empty()) {
    const std::string_view part = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), part.size() + 1));
    const std::size_t equals = part.find('=');
    if (part.substr(0, equals) == name) {
      return equals == std::string_view::npos ? std::string()
                                              : Decode(part.substr(equals + 1));
    }
  }
  return std::nullopt;
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || ec != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace flamingogauge
