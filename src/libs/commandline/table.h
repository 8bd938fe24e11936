#ifndef FLAMINGOGAUGE_LIBS_COMMANDLINE_TABLE_H_
#define FLAMINGOGAUGE_LIBS_COMMANDLINE_TABLE_H_

#include <string>
#include <vector>

namespace flamingogauge {

// Formats rows as columns of equal width, the first row as the heading.
std::string FormatTable(const std::vector<std::vector<std::string>>& rows);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_COMMANDLINE_TABLE_H_
