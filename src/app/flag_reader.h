#ifndef FLAMINGOGAUGE_APP_FLAG_READER_H_
#define FLAMINGOGAUGE_APP_FLAG_READER_H_

#include <gflags/gflags.h>

#include <string>
#include <vector>

#include "libs/kernel/error.h"

namespace flamingogauge {

// Sets gflags from the environment variables FLAGS_<name>, then from arguments
// of the forms --name=value, --name value, --name and --noname, which take
// precedence. Unlike the library's own reader it reports a wrong flag as an
// error instead of ending the process with status 1.
Result<void> ReadFlags(const std::vector<std::string>& arguments);

// The flags of the program, without those of the library.
std::vector<gflags::CommandLineFlagInfo> OwnFlags();

// Returns one line for each flag of the program: name, default, description.
std::string DescribeFlags();

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_APP_FLAG_READER_H_
