#include "tools/load/load_svg.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <sstream>
#include <utility>

namespace flamingogauge {
namespace {

constexpr double kWidth = 800;
constexpr double kHeight = 400;
constexpr double kMargin = 50;
constexpr double kLegendWidth = 190;
// Range of the vertical axis, in milliseconds.
constexpr double kMinLatencyMs = 0.1;
constexpr double kMaxLatencyMs = 100000;
constexpr std::array<const char*, 6> kColours{"#c0392b", "#2980b9", "#27ae60",
                                              "#8e44ad", "#d68910", "#7f8c8d"};

using Series = std::map<std::int64_t, std::vector<double>>;

double ToY(double milliseconds) {
  const double part =
      (std::log10(std::clamp(milliseconds, kMinLatencyMs, kMaxLatencyMs)) -
       std::log10(kMinLatencyMs)) /
      (std::log10(kMaxLatencyMs) - std::log10(kMinLatencyMs));
  return kHeight - kMargin - part * (kHeight - 2 * kMargin);
}

double ToX(std::int64_t second, std::int64_t last_second) {
  const double span = kWidth - kLegendWidth - 2 * kMargin;
  return kMargin +
         span * static_cast<double>(second) /
             static_cast<double>(std::max<std::int64_t>(1, last_second));
}

void DrawAxis(std::ostream& svg) {
  for (double value = kMinLatencyMs; value <= kMaxLatencyMs; value *= 10) {
    svg << "<line x1='" << kMargin << "' x2='" << kWidth - kLegendWidth
        << "' y1='" << ToY(value) << "' y2='" << ToY(value)
        << "' stroke='#ddd'/><text x='4' y='" << ToY(value) + 4 << "'>" << value
        << "</text>\n";
  }
}

void DrawLine(std::ostream& svg,
              Series& series,
              std::int64_t last_second,
              const char* colour) {
  svg << "<polyline fill='none' stroke='" << colour << "' points='";
  for (auto& it : series) {
    auto& values = it.second;
    std::sort(values.begin(), values.end());
    constexpr double kPercentile = 0.95;
    const auto index = static_cast<std::size_t>(
        kPercentile * static_cast<double>(values.size() - 1));
    svg << ToX(it.first, last_second) << "," << ToY(values[index]) << " ";
  }
  svg << "'/>\n";
}

}  // namespace

std::string DrawSvg(const LoadSummary& summary,
                    const std::vector<RequestClass>& classes) {
  std::map<std::string, Series> lines;
  std::int64_t last_second = 0;
  for (const LoadResult& it : summary.results) {
    if (it.end != LoadOutcome::kSucceeded) {
      continue;
    }
    const std::int64_t second =
        std::chrono::duration_cast<std::chrono::seconds>(it.planned_at).count();
    last_second = std::max(last_second, second);
    const std::string name =
        classes[it.class_index].name + (it.direct ? " direct" : "");
    lines[name][second].push_back(
        std::chrono::duration<double, std::milli>(it.first_token).count());
  }
  std::ostringstream svg;
  svg << "<svg xmlns='http://www.w3.org/2000/svg' width='" << kWidth
      << "' height='" << kHeight
      << "' font-family='sans-serif' font-size='11'>\n"
      << "<text x='" << kMargin
      << "' y='20'>first token, 95th percentile, ms; over " << last_second + 1
      << " s</text>\n";
  DrawAxis(svg);
  std::size_t n = 0;
  for (auto& it : lines) {
    const char* colour = kColours[n % kColours.size()];
    DrawLine(svg, it.second, last_second, colour);
    svg << "<text x='" << kWidth - kLegendWidth + 10 << "' y='"
        << kMargin + 16 * static_cast<double>(n) << "' fill='" << colour << "'>"
        << it.first << "</text>\n";
    ++n;
  }
  svg << "</svg>\n";
  return svg.str();
}

}  // namespace flamingogauge
