#include "app/flag_reader.h"

#include <gflags/gflags.h>

#include <cstdlib>
#include <fstream>

namespace flamingogauge {
namespace {

constexpr char kFlagfileFlag[] = "flagfile";

Error FlagError(const std::string& message) {
  return {.code = ErrorCode::kInvalidArgument,
          .step = "read flags",
          .message = message};
}

// Flags of the gflags library itself, such as --flagfile and --tryfromenv, are
// defined in source files whose path contains "gflags".
bool IsProgramFlag(const gflags::CommandLineFlagInfo& info) {
  return info.filename.find("gflags") == std::string::npos;
}

Result<void> SetFlag(const std::string& name, const std::string& value) {
  gflags::CommandLineFlagInfo info;
  if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info)) {
    return FlagError("--" + name + " is unknown; try: flamingogauge help");
  }
  // gflags would exit the process.
  if (name == kFlagfileFlag && !std::ifstream(value)) {
    return Error{.code = ErrorCode::kUnavailable,
                 .step = "read flags",
                 .peer = value,
                 .message = "the file cannot be read"};
  }
  if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
    return FlagError("--" + name + " is \"" + value + "\", allowed is a " +
                     info.type);
  }
  return boost::outcome_v2::success();
}

bool IsBool(const std::string& name) {
  gflags::CommandLineFlagInfo info;
  return gflags::GetCommandLineFlagInfo(name.c_str(), &info) &&
         info.type == "bool";
}

Result<void> ReadEnvironment() {
  for (const gflags::CommandLineFlagInfo& it : ProgramFlags()) {
    const char* value = std::getenv(("FLAGS_" + it.name).c_str());
    if (value != nullptr) {
      Result<void> set = SetFlag(it.name, value);
      if (!set) {
        return set;
      }
    }
  }
  return boost::outcome_v2::success();
}

}  // namespace

Result<void> ReadFlags(const std::vector<std::string>& arguments) {
  Result<void> read = ReadEnvironment();
  for (std::size_t it = 0; read && it < arguments.size(); ++it) {
    const std::string& argument = arguments[it];
    const std::size_t name_begin = argument.find_first_not_of('-');
    if (argument.empty() || argument[0] != '-' || name_begin > 2) {
      return FlagError("\"" + argument + "\" is not a flag");
    }
    const std::size_t equals = argument.find('=');
    const std::string name = argument.substr(name_begin, equals - name_begin);
    if (equals != std::string::npos) {
      read = SetFlag(argument.substr(name_begin, equals - name_begin),
                     argument.substr(equals + 1));
    } else if (IsBool(name)) {
      read = SetFlag(name, "true");
    } else if (name.rfind("no", 0) == 0 && IsBool(name.substr(2))) {
      read = SetFlag(name.substr(2), "false");
    } else if (it + 1 < arguments.size()) {
      read = SetFlag(name, arguments[++it]);
    } else {
      read = FlagError("--" + name + " needs a value");
    }
  }
  return read;
}

std::vector<gflags::CommandLineFlagInfo> ProgramFlags() {
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  std::erase_if(flags, [](const auto& it) { return !IsProgramFlag(it); });
  return flags;
}

std::string DescribeFlags() {
  std::string text;
  for (const gflags::CommandLineFlagInfo& it : ProgramFlags()) {
    text += "  --" + it.name + "=" + it.default_value + "  " + it.description +
            "\n";
  }
  return text;
}

}  // namespace flamingogauge
