#ifndef FLAMINGOGAUGE_LIBS_COMMANDLINE_CLIENT_COMMAND_H_
#define FLAMINGOGAUGE_LIBS_COMMANDLINE_CLIENT_COMMAND_H_

#include <string>
#include <string_view>

namespace flamingogauge {

// True when the first argument of the program names a command for operators.
// Such commands read their options themselves, not through gflags.
bool IsClientCommand(std::string_view name);

// Runs a command for operators; `argv[0]` is the program and `argv[1]` the
// command. Results go to standard output and errors to standard error. Returns
// the exit status, see docs/OPERATIONS.md.
int RunClientCommand(int argc, char** argv);

// One line for each command, for the program's help.
std::string ClientCommandsHelp();

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_COMMANDLINE_CLIENT_COMMAND_H_
