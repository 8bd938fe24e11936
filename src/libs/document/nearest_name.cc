#include "libs/document/nearest_name.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace flamingogauge {
namespace {

// Longer names are not compared, to bound the cost of checking a document with
// many faults.
constexpr std::size_t kMaxNameLength = 64;

// Computes the Levenshtein distance.
std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t substitution_distance =
          diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({substitution_distance, row[j] + 1, row[j - 1] + 1});
    }
  }
  return row[b.size()];
}

}  // namespace

std::string NearestName(std::string_view name,
                        const std::vector<std::string>& names) {
  std::string nearest;
  std::size_t nearest_distance = name.size() / 2 + 1;
  if (name.size() > kMaxNameLength) {
    return nearest;
  }
  for (const std::string& it : names) {
    if (it.size() > kMaxNameLength) {
      continue;
    }
    const std::size_t distance = EditDistance(name, it);
    if (distance < nearest_distance) {
      nearest = it;
      nearest_distance = distance;
    }
  }
  return nearest;
}

}  // namespace flamingogauge
