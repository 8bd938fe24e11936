#include "libs/explaining/explain_question.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <utility>

namespace flamingogauge {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kMaxMethodLength = 16;
constexpr std::uint64_t kMaxTokens = 1'000'000'000;
constexpr std::uint64_t kMaxTimeLimitMs = 24ULL * 3600 * 1000;
// The largest prompt part that fits the 64 bits of its id.
constexpr std::size_t kMaxIdDigits = 16;
constexpr std::size_t kMaxCountDigits = 9;

Error Invalid(const std::string& field, const std::string& allowed) {
  return Error{.code = ErrorCode::kInvalidArgument,
               .step = "read the question",
               .peer = "",
               .message = field + ": allowed: " + allowed};
}

bool IsMethod(const std::string& text) {
  return !text.empty() && text.size() <= kMaxMethodLength &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= 'A' && c <= 'Z'; });
}

bool IsVisible(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c < '\x7f'; });
}

// True for one to `max_length` digits of the base.
bool IsNumber(std::string_view text, std::size_t max_length, bool is_hex) {
  return !text.empty() && text.size() <= max_length &&
         std::all_of(text.begin(), text.end(), [is_hex](unsigned char c) {
           return (is_hex ? std::isxdigit(c) : std::isdigit(c)) != 0;
         });
}

bool IsPromptPrefix(std::string_view text) {
  while (!text.empty()) {
    const std::string_view part = text.substr(0, text.find(','));
    const std::size_t colon = part.find(':');
    if (colon == std::string_view::npos ||
        !IsNumber(part.substr(0, colon), kMaxIdDigits, true) ||
        !IsNumber(part.substr(colon + 1), kMaxCountDigits, false)) {
      return false;
    }
    text.remove_prefix(std::min(text.size(), part.size() + 1));
  }
  return true;
}

// Reads the fields of a JSON object; keeps the first fault.
class FieldReader {
 public:
  explicit FieldReader(const json& object) : object_(object) {}

  void Text(const char* name,
            std::string& out,
            const std::string& allowed,
            bool (*is_allowed)(const std::string&)) {
    known_.emplace_back(name);
    const auto it = object_.find(name);
    if (it == object_.end()) {
      return;
    }
    if (!it->is_string() || !is_allowed(it->get_ref<const std::string&>())) {
      AddFault(name, allowed);
      return;
    }
    out = it->get<std::string>();
  }

  void Integer(const char* name, std::uint64_t& out, std::uint64_t max) {
    known_.emplace_back(name);
    const auto it = object_.find(name);
    if (it == object_.end()) {
      return;
    }
    if (!it->is_number_unsigned() || it->get<std::uint64_t>() > max) {
      AddFault(name, "an integer from 0 to " + std::to_string(max));
      return;
    }
    out = it->get<std::uint64_t>();
  }

  // Reports a field that is not among those that were read.
  void CheckNames() {
    std::string names;
    for (const std::string& it : known_) {
      names += (names.empty() ? "" : ", ") + it;
    }
    for (const auto& [name, value] : object_.items()) {
      if (std::find(known_.begin(), known_.end(), name) == known_.end()) {
        AddFault("an unknown field", names);
      }
    }
  }

  void AddFault(const std::string& field, const std::string& allowed) {
    if (!fault_) {
      fault_ = Invalid(field, allowed);
    }
  }

  const std::optional<Error>& fault() const { return fault_; }

 private:
  const json& object_;
  std::vector<std::string> known_;
  std::optional<Error> fault_;
};

void ReadTexts(FieldReader& fields, ExplainQuestion& question) {
  fields.Text("method", question.method, "1 to 16 capital letters", &IsMethod);
  fields.Text("target", question.target,
              "a path that begins with a slash, without spaces",
              [](const std::string& text) {
                return text.starts_with('/') && IsVisible(text);
              });
  constexpr char kVisible[] = "visible ASCII characters";
  fields.Text("host", question.host, kVisible, &IsVisible);
  fields.Text("key", question.key, kVisible, &IsVisible);
  fields.Text("request_id", question.request_id, kVisible, &IsVisible);
  fields.Text("prompt_prefix", question.prompt_prefix,
              "ID:TOKENS,... with hexadecimal ids",
              [](const std::string& text) { return IsPromptPrefix(text); });
  const auto any = [](const std::string&) { return true; };
  fields.Text("workspace", question.workspace, "a string", any);
  fields.Text("body", question.body, "a string", any);
}

}  // namespace

Result<ExplainQuestion> ParseExplainQuestion(std::string_view text) {
  if (text.size() > ExplainQuestion::kMaxBytes) {
    return Invalid("the question",
                   std::to_string(ExplainQuestion::kMaxBytes) + " bytes");
  }
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object()) {
    return Invalid("the question", "a JSON object");
  }
  ExplainQuestion question;
  FieldReader fields(object);
  ReadTexts(fields, question);
  fields.Integer("prompt_tokens", question.prompt_tokens, kMaxTokens);
  fields.Integer("output_tokens", question.output_tokens, kMaxTokens);
  fields.Integer("expected_output_tokens", question.expected_output_tokens,
                 kMaxTokens);
  std::uint64_t time_limit_ms = 0;
  fields.Integer("time_limit_ms", time_limit_ms, kMaxTimeLimitMs);
  if (object.contains("time_limit_ms")) {
    question.time_limit = milliseconds(time_limit_ms);
  }
  fields.CheckNames();
  for (const char* it : {"method", "target"}) {
    if (!object.contains(it)) {
      fields.AddFault(it, "the field is required");
    }
  }
  if (!question.key.empty() && !question.workspace.empty()) {
    fields.AddFault("workspace", "no value beside a key");
  }
  if (fields.fault()) {
    return *fields.fault();
  }
  return question;
}

std::string FormatExplainQuestion(const ExplainQuestion& question) {
  json object{{"method", question.method}, {"target", question.target}};
  const auto add_text = [&object](const char* name, const std::string& text) {
    if (!text.empty()) {
      object[name] = text;
    }
  };
  add_text("host", question.host);
  add_text("key", question.key);
  add_text("workspace", question.workspace);
  add_text("request_id", question.request_id);
  add_text("prompt_prefix", question.prompt_prefix);
  add_text("body", question.body);
  const auto add_count = [&object](const char* name, std::uint64_t count) {
    if (count > 0) {
      object[name] = count;
    }
  };
  add_count("prompt_tokens", question.prompt_tokens);
  add_count("output_tokens", question.output_tokens);
  add_count("expected_output_tokens", question.expected_output_tokens);
  if (question.time_limit) {
    object["time_limit_ms"] = question.time_limit->count();
  }
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace flamingogauge
