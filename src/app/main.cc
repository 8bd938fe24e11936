#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include "app/flag_reader.h"
#include "app/gateway_plugins.h"
#include "app/serve_command.h"
#include "libs/commandline/client_command.h"
#include "libs/commandline/explain_request.h"
#include "libs/kernel/log.h"

namespace {

constexpr int kFailed = 1;
constexpr int kUsageError = 2;

constexpr char kUsage[] =
    "usage: flamingogauge <command> [flags]\n"
    "\n"
    "  serve             runs an entry host; --embedded runs one alone\n"
    "  check-settings    checks the flags of serve without starting it\n"
    "  explain ID        prints the history of a request from the structured\n"
    "                    logs on standard input\n"
    "  version           prints the version\n"
    "  help              prints this text and the flags of serve\n"
    "\n"
    "Flags are also read from environment variables FLAGS_<name>.\n"
    "\ncommands for operators:\n";

int PrintHelp() {
  std::fputs((kUsage + flamingogauge::ClientCommandsHelp()).c_str(), stdout);
  std::fputs("\nflags of serve:\n", stdout);
  std::fputs(flamingogauge::DescribeFlags().c_str(), stdout);
  return 0;
}

int Explain(int argc, char** argv) {
  if (argc != 3) {
    std::fputs("usage: flamingogauge explain ID < LOGS\n", stderr);
    return kUsageError;
  }
  const std::string history = flamingogauge::ExplainRequest(std::cin, argv[2]);
  if (history.empty()) {
    std::fprintf(stderr, "flamingogauge: no log line contains the request %s\n",
                 argv[2]);
    return kFailed;
  }
  std::fputs(history.c_str(), stdout);
  return 0;
}

int CheckSettings(const std::vector<std::string>& arguments) {
  flamingogauge::Result<void> checked = flamingogauge::ReadFlags(arguments);
  if (checked && flamingogauge::IsGatewayConfigured()) {
    checked = flamingogauge::CheckGatewayPlugins();
  }
  if (!checked) {
    std::fprintf(stderr, "flamingogauge: %s\n",
                 ToString(checked.error()).c_str());
    return kUsageError;
  }
  std::puts("settings are valid");
  return 0;
}

int Serve(const std::vector<std::string>& arguments) {
  flamingogauge::BlockServeSignals();
  const flamingogauge::Result<void> read = flamingogauge::ReadFlags(arguments);
  if (!read) {
    std::fprintf(stderr, "flamingogauge: %s\n", ToString(read.error()).c_str());
    return kUsageError;
  }
  flamingogauge::InitializeLogging(flamingogauge::LogLevel::kInfo);
  return flamingogauge::RunServeCommand(arguments);
}

}  // namespace

int main(int argc, char** argv) {
  const std::string command = argc > 1 ? argv[1] : "";
  if (command == "serve") {
    return Serve({argv + 2, argv + argc});
  }
  if (command == "check-settings") {
    return CheckSettings({argv + 2, argv + argc});
  }
  if (command == "explain") {
    return Explain(argc, argv);
  }
  if (command == "version") {
    std::puts("flamingogauge 0.1.0");
    return 0;
  }
  if (command == "help" || command == "--help") {
    return PrintHelp();
  }
  if (command.empty()) {
    std::fputs((kUsage + flamingogauge::ClientCommandsHelp()).c_str(), stderr);
    return kUsageError;
  }
  return flamingogauge::RunClientCommand(argc, argv);
}
