#ifndef FLAMINGOGAUGE_TOOLS_LOAD_LOAD_SVG_H_
#define FLAMINGOGAUGE_TOOLS_LOAD_LOAD_SVG_H_

#include <string>
#include <vector>

#include "tools/load/load_runner.h"

namespace flamingogauge {

// Plots the 95th percentile of the time to first token in one-second intervals.
// There is one line for the requests of each class through the entry hosts and
// one for those sent directly. The vertical axis is logarithmic, in
// milliseconds.
std::string DrawSvg(const LoadSummary& summary,
                    const std::vector<RequestClass>& classes);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TOOLS_LOAD_LOAD_SVG_H_
