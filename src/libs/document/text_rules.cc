#include "libs/document/text_rules.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <cstdlib>

namespace flamingogauge {
namespace {

constexpr std::size_t kMaxNameLength = 128;
constexpr std::size_t kHashDigits = 64;
constexpr std::size_t kMaxPortDigits = 5;
constexpr int kMaxPort = 65535;
constexpr std::size_t kUtcTimeLength = 20;

bool IsAlphanumericOr(std::string_view text, std::string_view punctuation) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [punctuation](char it) {
           return std::isalnum(static_cast<unsigned char>(it)) != 0 ||
                  punctuation.find(it) != std::string_view::npos;
         });
}

bool IsPort(const std::string& text) {
  const bool is_number =
      !text.empty() && text.size() <= kMaxPortDigits &&
      std::all_of(text.begin(), text.end(),
                  [](unsigned char it) { return std::isdigit(it) != 0; });
  const int port = is_number ? std::atoi(text.c_str()) : 0;
  return port >= 1 && port <= kMaxPort;
}

}  // namespace

bool IsName(std::string_view text) {
  return IsAlphanumericOr(text, "._:/@+-");
}

bool IsServiceName(std::string_view text) {
  return IsAlphanumericOr(text, "._-");
}

bool IsAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || !IsPort(text.substr(colon + 1))) {
    return false;
  }
  const std::string host = text.substr(0, colon);
  std::array<unsigned char, sizeof(in6_addr)> buf{};
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(),
                     buf.data()) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), buf.data()) == 1;
}

bool IsKeyHash(std::string_view text) {
  return text.size() == kHashDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool IsMethod(std::string_view text) {
  constexpr std::array<std::string_view, 6> kMethods{"GET", "HEAD",  "POST",
                                                     "PUT", "PATCH", "DELETE"};
  return std::find(kMethods.begin(), kMethods.end(), text) != kMethods.end();
}

std::optional<std::chrono::seconds> ParseUtcTime(const std::string& text) {
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  int hours = 0;
  int minutes = 0;
  int seconds = 0;
  int length = 0;
  // NOLINTNEXTLINE(cert-err34-c): the result is formatted and compared below.
  std::sscanf(text.c_str(), "%4d-%2u-%2uT%2d:%2d:%2dZ%n", &year, &month, &day,
              &hours, &minutes, &seconds, &length);
  const std::chrono::year_month_day date{std::chrono::year(year),
                                         std::chrono::month(month),
                                         std::chrono::day(day)};
  if (length != static_cast<int>(kUtcTimeLength) ||
      text.size() != kUtcTimeLength || !date.ok() || year < 1970) {
    return std::nullopt;
  }
  const std::chrono::seconds time =
      std::chrono::sys_days(date).time_since_epoch() +
      std::chrono::hours(hours) + std::chrono::minutes(minutes) +
      std::chrono::seconds(seconds);
  // Rejects times such as 25:00:00 and fields that contain a sign.
  if (FormatUtcTime(time) != text) {
    return std::nullopt;
  }
  return time;
}

std::string FormatUtcTime(std::chrono::seconds since_epoch) {
  const auto days = std::chrono::floor<std::chrono::days>(since_epoch);
  const std::chrono::year_month_day date{std::chrono::sys_days(days)};
  const std::chrono::hh_mm_ss time(since_epoch - days);
  std::array<char, 64> buf{};
  std::snprintf(
      buf.data(), buf.size(), "%04d-%02u-%02uT%02d:%02d:%02dZ",
      static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
      static_cast<unsigned>(date.day()), static_cast<int>(time.hours().count()),
      static_cast<int>(time.minutes().count()),
      static_cast<int>(time.seconds().count()));
  return buf.data();
}

}  // namespace flamingogauge
