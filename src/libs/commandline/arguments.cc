#include "libs/commandline/arguments.h"

#include <algorithm>
#include <cstdlib>

#include "libs/document/nearest_name.h"

namespace flamingogauge {
namespace {

Error UsageError(std::string message) {
  return Error{.code = ErrorCode::kInvalidArgument,
               .step = "parse arguments",
               .peer = "",
               .message = std::move(message)};
}

}  // namespace

std::string Arguments::Get(const std::string& name,
                           const std::string& fallback) const {
  const auto it = options.find(name);
  if (it != options.end()) {
    return it->second;
  }
  const char* value = std::getenv(("FLAGS_" + name).c_str());
  return value != nullptr ? value : fallback;
}

std::optional<std::uint64_t> Arguments::GetNumber(
    const std::string& name) const {
  const auto it = options.find(name);
  constexpr std::size_t kMaxDigits = 18;
  if (it == options.end() || it->second.empty() ||
      it->second.size() > kMaxDigits ||
      it->second.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  return std::strtoull(it->second.c_str(), nullptr, 10);
}

Result<Arguments> ParseArguments(const std::vector<std::string>& words,
                                 const std::vector<OptionSpec>& specs) {
  Arguments arguments;
  for (std::size_t it = 0; it < words.size(); ++it) {
    const std::string& word = words[it];
    if (!word.starts_with("--")) {
      arguments.positional.push_back(word);
      continue;
    }
    const std::size_t equals = word.find('=');
    std::string name = word.substr(
        2, equals == std::string::npos ? std::string::npos : equals - 2);
    std::replace(name.begin(), name.end(), '-', '_');
    const auto spec =
        std::find_if(specs.begin(), specs.end(),
                     [&name](const OptionSpec& s) { return s.name == name; });
    if (spec == specs.end()) {
      std::vector<std::string> names;
      for (const OptionSpec& s : specs) {
        names.push_back(s.name);
      }
      const std::string nearest = NearestName(name, names);
      return UsageError("--" + name + " is not a known option" +
                        (nearest.empty()
                             ? std::string()
                             : "; did you mean --" + nearest + "?"));
    }
    if (equals != std::string::npos) {
      arguments.options[name] = word.substr(equals + 1);
    } else if (!spec->takes_value) {
      arguments.options[name] = "true";
    } else if (it + 1 < words.size()) {
      arguments.options[name] = words[++it];
    } else {
      return UsageError("--" + name + " requires a value");
    }
  }
  return arguments;
}

}  // namespace flamingogauge
