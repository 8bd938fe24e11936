#ifndef FLAMINGOGAUGE_LIBS_COMMANDLINE_ARGUMENTS_H_
#define FLAMINGOGAUGE_LIBS_COMMANDLINE_ARGUMENTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/kernel/error.h"

namespace flamingogauge {

// Describes one option that a command accepts.
struct OptionSpec {
  std::string name;
  // False for flags such as --wait.
  bool takes_value = true;
};

// The parsed arguments of a command: positional arguments and options.
struct Arguments {
  std::vector<std::string> positional;
  std::map<std::string, std::string> options;

  bool Has(const std::string& name) const { return options.contains(name); }

  // Returns the option's value, the value of the environment variable
  // FLAGS_<name> if the option is absent, or `fallback` if neither is set.
  std::string Get(const std::string& name,
                  const std::string& fallback = "") const;

  // Returns std::nullopt if the option is absent or not a non-negative integer
  // of at most 18 digits.
  std::optional<std::uint64_t> GetNumber(const std::string& name) const;
};

// Parses "--name=value", "--name value" and "--name". Hyphens and underscores
// in option names are equivalent. The error for an unknown option suggests the
// most similar known one.
Result<Arguments> ParseArguments(const std::vector<std::string>& words,
                                 const std::vector<OptionSpec>& specs);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_COMMANDLINE_ARGUMENTS_H_
