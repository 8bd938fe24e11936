#include "libs/commandline/table.h"

#include <algorithm>
#include <cstddef>

namespace flamingogauge {

std::string FormatTable(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t it = 0; it < row.size(); ++it) {
      widths[it] = std::max(widths[it], row[it].size());
    }
  }
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t it = 0; it < row.size(); ++it) {
      line += row[it];
      if (it + 1 < row.size()) {
        line.append(widths[it] - row[it].size() + 2, ' ');
      }
    }
    text += line + "\n";
  }
  return text;
}

}  // namespace flamingogauge
