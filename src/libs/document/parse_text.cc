#include "libs/document/parse_text.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <vector>

namespace flamingogauge {
namespace {

using Json = nlohmann::ordered_json;

// More deeply nested values cannot be valid, and formatting them in a fault
// message would recurse too deeply.
constexpr std::size_t kMaxDepth = 16;

// Checks for duplicate names and excessive nesting. A parser callback of the
// library is not used for this, because at the end of each array element it
// examines all earlier ones, which is quadratic in the number of workspaces.
class StructureChecker : public nlohmann::json_sax<Json> {
 public:
  StructureChecker(std::string section, DocumentFaults& faults)
      : section_(std::move(section)), faults_(faults) {}

  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return true;
  }
  bool string(string_t& /*value*/) override { return true; }
  bool binary(binary_t& /*value*/) override { return true; }
  bool start_object(std::size_t /*elements*/) override { return Enter(); }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t /*elements*/) override { return Enter(); }
  bool end_array() override { return Leave(); }

  bool key(string_t& value) override {
    if (!names_.back().insert(value).second) {
      Add(value, "each field at most once in an object");
    }
    return true;
  }

  // Syntax errors are reported by ParseText.
  bool parse_error(std::size_t /*position*/,
                   const std::string& /*last_token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

  bool is_too_deep() const { return is_too_deep_; }

 private:
  bool Enter() {
    if (names_.size() == kMaxDepth) {
      is_too_deep_ = true;
      Add("nested values",
          "at most " + std::to_string(kMaxDepth) + " levels of nesting");
      return false;
    }
    names_.emplace_back();
    return true;
  }

  bool Leave() {
    names_.pop_back();
    return true;
  }

  void Add(std::string value, std::string allowed) {
    AddFault(faults_, {.section = section_,
                       .path = "",
                       .value = std::move(value),
                       .allowed = std::move(allowed)});
  }

  const std::string section_;
  DocumentFaults& faults_;
  std::vector<std::set<std::string>> names_;
  bool is_too_deep_ = false;
};

}  // namespace

Json ParseText(std::string_view text,
               const std::string& section,
               UnknownFields unknown_fields,
               DocumentFaults& faults) {
  if (unknown_fields == UnknownFields::kRefuse) {
    StructureChecker checker(section, faults);
    Json::sax_parse(text, &checker);
    if (checker.is_too_deep()) {
      return Json::value_t::discarded;
    }
  }
  try {
    return Json::parse(text);
  } catch (const Json::exception& e) {
    AddFault(faults, {.section = section,
                      .path = "",
                      .value = e.what(),
                      .allowed = "well-formed JSON text"});
    return Json::value_t::discarded;
  }
}

}  // namespace flamingogauge
