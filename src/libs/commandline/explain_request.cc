#include "libs/commandline/explain_request.h"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

namespace flamingogauge {
namespace {

using nlohmann::json;

struct LogLine {
  std::int64_t unix_ms = 0;
  // The text before the JSON object, for example the host name.
  std::string source;
  json fields;
};

std::string FormatLogLine(const LogLine& line, std::int64_t begin_ms) {
  std::string text = "+" + std::to_string(line.unix_ms - begin_ms) + " ms  ";
  text += line.source + line.fields.value("event", "?");
  for (const auto& [name, value] : line.fields.items()) {
    if (name != "event" && name != "unix_ms" && name != "request") {
      text += "  " + name + "=" +
              (value.is_string() ? value.get<std::string>() : value.dump());
    }
  }
  return text + "\n";
}

}  // namespace

std::string ExplainRequest(std::istream& logs, const std::string& request) {
  std::vector<LogLine> lines;
  for (std::string text; std::getline(logs, text);) {
    const std::size_t begin = text.find('{');
    if (begin == std::string::npos || text.find(request) == text.npos) {
      continue;
    }
    json fields = json::parse(text.substr(begin), nullptr, false);
    if (!fields.is_object() || fields.value("request", "") != request) {
      continue;
    }
    const std::int64_t unix_ms = fields.value("unix_ms", std::int64_t{0});
    lines.push_back({.unix_ms = unix_ms,
                     .source = text.substr(0, begin),
                     .fields = std::move(fields)});
  }
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const LogLine& a, const LogLine& b) { return a.unix_ms < b.unix_ms; });
  std::string timeline;
  for (const LogLine& it : lines) {
    timeline += FormatLogLine(it, lines.front().unix_ms);
  }
  return timeline;
}

}  // namespace flamingogauge
