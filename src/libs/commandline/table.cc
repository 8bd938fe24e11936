#include "libs/commandline/table.h"

#include <algorithm>
#include <cstddef>

namespace flamingogauge {

std::string FormatTable(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column) {
      line += row[column];
      if (column + 1 < row.size()) {
        line.append(widths[column] - row[column].size() + 2, ' ');
      }
    }
    text += line + "\n";
  }
  return text;
}

}  // namespace flamingogauge
