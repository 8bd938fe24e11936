#ifndef FLAMINGOGAUGE_LIBS_COMMANDLINE_ARGUMENTS_H_
#define FLAMINGOGAUGE_LIBS_COMMANDLINE_ARGUMENTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/kernel/error.h"

namespace flamingogauge {

// An option of a command.
struct OptionSpec {
  std::string name;
  // False for options such as --wait.
  bool takes_value = true;
};

// The arguments of a command, options apart from the rest.
struct Arguments {
  std::vector<std::string> positional;
  std::map<std::string, std::string> options;

  bool Has(const std::string& name) const { return options.contains(name); }

  // The option's value, or else that of the environment variable
  // FLAGS_<name>, or else `fallback`.
  std::string Get(const std::string& name,
                  const std::string& fallback = "") const;

  // Nothing when the option is absent or not a whole number.
  std::optional<std::uint64_t> GetNumber(const std::string& name) const;
};

// Reads "--name=value", "--name value" and "--name". Hyphens and underscores in
// names are the same. The error names the option and the nearest known one.
Result<Arguments> ParseArguments(const std::vector<std::string>& words,
                                 const std::vector<OptionSpec>& specs);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_COMMANDLINE_ARGUMENTS_H_
