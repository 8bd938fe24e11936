#ifndef FLAMINGOGAUGE_LIBS_COMMANDLINE_CLIENT_COMMAND_H_
#define FLAMINGOGAUGE_LIBS_COMMANDLINE_CLIENT_COMMAND_H_

#include <string>
#include <string_view>

namespace flamingogauge {

// Returns true if the first argument of the program names an operator command.
// These commands parse their options with ParseArguments() instead of gflags.
bool IsClientCommand(std::string_view name);

// Runs an operator command; `argv[0]` is the program and `argv[1]` the command.
// Prints results to standard output and errors to standard error. Returns the
// exit status, see docs/OPERATIONS.md.
int RunClientCommand(int argc, char** argv);

// Returns the synopsis and summary of each command for the program's help.
std::string ClientCommandsHelp();

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_COMMANDLINE_CLIENT_COMMAND_H_
