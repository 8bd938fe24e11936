#ifndef FLAMINGOGAUGE_LIBS_COMMANDLINE_TABLE_H_
#define FLAMINGOGAUGE_LIBS_COMMANDLINE_TABLE_H_

#include <string>
#include <vector>

namespace flamingogauge {

// Formats rows as left-aligned columns, each as wide as its longest cell.
std::string FormatTable(const std::vector<std::vector<std::string>>& rows);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_COMMANDLINE_TABLE_H_
