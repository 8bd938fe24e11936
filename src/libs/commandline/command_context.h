#ifndef FLAMINGOGAUGE_LIBS_COMMANDLINE_COMMAND_CONTEXT_H_
#define FLAMINGOGAUGE_LIBS_COMMANDLINE_COMMAND_CONTEXT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "libs/commandline/arguments.h"
#include "libs/commandline/operator_client.h"
#include "libs/document/document_fault.h"
#include "libs/kernel/error.h"

namespace flamingogauge {

// Exit statuses of the operator commands.
enum ExitStatus : int {
  kDone = 0,
  kFailed = 1,
  kUsage = 2,
  // The document or section has faults; nothing was changed.
  kInvalidDocument = 3,
  // Conflicts with an edit of the section that was accepted earlier; nothing
  // was changed.
  kConflict = 4,
  // The host or the store is unreachable; nothing was changed.
  kUnreachable = 5,
  // The change may or may not have taken effect.
  kOutcomeUnknown = 6,
  kTokenRefused = 7,
  // `document diff` found differences.
  kDifferent = 8,
};

// The inputs of a command.
struct CommandContext {
  Arguments arguments;
  OperatorClient client;
  bool json_output = false;
};

struct Command {
  // One or two words, for example "document apply".
  std::string name;
  // The options and arguments, as shown in the help.
  std::string synopsis;
  std::string summary;
  std::vector<OptionSpec> options;
  std::size_t min_positional = 0;
  std::size_t max_positional = 0;
  std::function<int(const CommandContext&)> run;
};

std::vector<Command> DocumentCommands();
std::vector<Command> HostCommands();
std::vector<Command> PlacementCommands();
std::vector<Command> UpstreamCommands();

// Prints "flamingogauge: <message>" on standard error and returns `status`.
int ReportError(int status, const std::string& message);

// Prints each fault on standard error and returns kInvalidDocument.
int ReportFaults(const DocumentFaults& faults);

// Reports a failed call or a response status other than 200, together with a
// suggested action, and returns the exit status.
int ReportFailure(const Result<OperatorResponse>& response);

// Returns true if the response has status 200.
bool IsSuccess(const Result<OperatorResponse>& response);

// Reads a file, or standard input for "-".
Result<std::string> ReadInput(const std::string& path);

// Prints indented JSON to standard output.
void PrintJson(const std::string& text);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_COMMANDLINE_COMMAND_CONTEXT_H_
