#ifndef FLAMINGOGAUGE_APP_FLAG_READER_H_
#define FLAMINGOGAUGE_APP_FLAG_READER_H_

#include <gflags/gflags.h>

#include <string>
#include <vector>

#include "libs/kernel/error.h"

namespace flamingogauge {

// Sets gflags from the environment variables FLAGS_<name>, then from arguments
// of the forms --name=value, --name value, --name and --noname, which take
// precedence. Returns an error for an invalid flag or a missing file of
// --flagfile, where the parser of gflags would exit the process with status 1.
Result<void> ReadFlags(const std::vector<std::string>& arguments);

// Returns the flags of the program, without those of the gflags library.
std::vector<gflags::CommandLineFlagInfo> ProgramFlags();

// Returns one line for each flag of the program: name, default, description.
std::string DescribeFlags();

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_APP_FLAG_READER_H_
