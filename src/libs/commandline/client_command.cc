#include "libs/commandline/client_command.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "libs/commandline/command_context.h"
#include "libs/document/nearest_name.h"

namespace flamingogauge {
namespace {

constexpr char kDefaultAddress[] = "127.0.0.1:8090";
constexpr char kCommonHelp[] =
    "Common options, also read from the environment as FLAGS_<name>:\n"
    "  --operator_address=IP:PORT  address of the host's operator interface\n"
    "                              (default: 127.0.0.1:8090)\n"
    "  --operator_token=TOKEN      preferably set as FLAGS_operator_token\n"
    "  --output=table|json         output format (default: table)\n"
    "\n"
    "Exit statuses: 0 success; 1 failure; 2 invalid usage; 3 invalid "
    "document;\n"
    "4 conflict with another edit of the section; 5 the host or the store is\n"
    "unreachable and nothing was changed; 6 the outcome is unknown; 7 the "
    "token\n"
    "was rejected; 8 'document diff' found differences.\n";

std::vector<Command> AllCommands() {
  std::vector<Command> commands = DocumentCommands();
  for (auto* list : {&HostCommands, &UpstreamCommands, &PlacementCommands}) {
    for (Command& it : list()) {
      commands.push_back(std::move(it));
    }
  }
  return commands;
}

// Returns the number of words in the name of `command` if `words` begins with
// that name, otherwise 0.
std::size_t MatchedWordCount(const Command& command,
                             const std::vector<std::string>& words) {
  const std::size_t space = command.name.find(' ');
  if (words.empty() || command.name.substr(0, space) != words[0]) {
    return 0;
  }
  if (space == std::string::npos) {
    return 1;
  }
  return words.size() > 1 && command.name.substr(space + 1) == words[1] ? 2 : 0;
}

void PrintHelp(const Command& command) {
  std::printf("usage: flamingogauge %s %s\n%s\n\n%s", command.name.c_str(),
              command.synopsis.c_str(), command.summary.c_str(), kCommonHelp);
}

int ReportUnknownCommand(const std::vector<std::string>& words) {
  std::string given;
  for (std::size_t it = 0; it < words.size() && it < 2; ++it) {
    given += (it > 0 ? " " : "") + words[it];
  }
  std::vector<std::string> names;
  for (const Command& it : AllCommands()) {
    names.push_back(it.name);
  }
  const std::string nearest = NearestName(given, names);
  std::string message = "unknown command '" + given + "'";
  message += nearest.empty()
                 ? "; available commands:"
                 : "; did you mean '" + nearest + "'? Available commands:";
  ReportError(kUsage, message);
  std::fputs(ClientCommandsHelp().c_str(), stderr);
  return kUsage;
}

int Run(const Command& command, const std::vector<std::string>& words) {
  std::vector<OptionSpec> options = command.options;
  options.push_back({"operator_address"});
  options.push_back({"operator_token"});
  options.push_back({"output"});
  options.push_back({.name = "help", .takes_value = false});
  const Result<Arguments> arguments = ParseArguments(words, options);
  const std::string usage =
      "; usage: flamingogauge " + command.name + " " + command.synopsis;
  if (!arguments) {
    return ReportError(kUsage, arguments.error().message + usage);
  }
  if (arguments.value().Has("help")) {
    PrintHelp(command);
    return kDone;
  }
  const std::size_t n = arguments.value().positional.size();
  if (n < command.min_positional || n > command.max_positional) {
    return ReportError(kUsage, command.name + " takes " +
                                   std::to_string(command.min_positional) +
                                   " arguments, not " + std::to_string(n) +
                                   usage);
  }
  const std::string output = arguments.value().Get("output", "table");
  if (output != "table" && output != "json") {
    return ReportError(
        kUsage, "--output=" + output + " is not supported; use table or json");
  }
  return command.run(
      {.arguments = arguments.value(),
       .client = OperatorClient(
           arguments.value().Get("operator_address", kDefaultAddress),
           arguments.value().Get("operator_token")),
       .json_output = output == "json"});
}

}  // namespace

bool IsClientCommand(std::string_view name) {
  const auto commands = AllCommands();
  return std::any_of(
      commands.begin(), commands.end(), [name](const Command& it) {
        return std::string_view(it.name).substr(0, it.name.find(' ')) == name;
      });
}

std::string ClientCommandsHelp() {
  std::string text;
  for (const Command& it : AllCommands()) {
    text += "  " + it.name;
    text += it.synopsis.empty() ? "" : " " + it.synopsis;
    text += "\n      " + it.summary + "\n";
  }
  return text;
}

int RunClientCommand(int argc, char** argv) {
  std::vector<std::string> words(argv + std::min(argc, 1), argv + argc);
  for (const Command& it : AllCommands()) {
    const std::size_t n = MatchedWordCount(it, words);
    if (n > 0) {
      words.erase(words.begin(),
                  words.begin() + static_cast<std::ptrdiff_t>(n));
      try {
        return Run(it, words);
      } catch (const nlohmann::json::exception& e) {
        // The response has an unexpected structure, for example because the
        // host runs another version.
        return ReportError(
            kFailed,
            std::string("unexpected response from the host: ") + e.what());
      }
    }
  }
  return ReportUnknownCommand(words);
}

}  // namespace flamingogauge
