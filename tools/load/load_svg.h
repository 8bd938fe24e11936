#ifndef FLAMINGOGAUGE_TOOLS_LOAD_LOAD_SVG_H_
#define FLAMINGOGAUGE_TOOLS_LOAD_LOAD_SVG_H_

#include <string>
#include <vector>

#include "tools/load/load_runner.h"

namespace flamingogauge {

// Draws the 95th percentile of the time to the first token, one line for each
// class and way, over the time of the run in steps of one second. The vertical
// axis is logarithmic, in milliseconds.
std::string DrawSvg(const LoadSummary& summary,
                    const std::vector<RequestClass>& classes);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TOOLS_LOAD_LOAD_SVG_H_
