#include "libs/document/object_reader.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "libs/document/nearest_name.h"
#include "libs/document/text_rules.h"

namespace flamingogauge {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t kMaxDisplayedBytes = 80;

bool IsValid(const std::string& text, TextKind kind) {
  switch (kind) {
    case TextKind::kName:
      return IsName(text);
    case TextKind::kServiceName:
      return IsServiceName(text);
    case TextKind::kOptionalName:
      return text.empty() || IsName(text);
    case TextKind::kAddress:
      return IsAddress(text);
    case TextKind::kKeyHash:
      return IsKeyHash(text);
    case TextKind::kMethod:
      return IsMethod(text);
    case TextKind::kTime:
      return ParseUtcTime(text).has_value();
  }
  return false;
}

const char* Describe(TextKind kind) {
  switch (kind) {
    case TextKind::kName:
      return "a name of 1 to 128 letters, digits or ._:/@+-";
    case TextKind::kServiceName:
      return "a name of 1 to 128 letters, digits or ._-";
    case TextKind::kOptionalName:
      return "an empty text or a name of up to 128 letters, digits or ._:/@+-";
    case TextKind::kAddress:
      return "an address of the form ip:port with a port from 1 to 65535";
    case TextKind::kKeyHash:
      return "a SHA-256 hash of 64 lower-case hexadecimal digits";
    case TextKind::kMethod:
      return "one of GET, HEAD, POST, PUT, PATCH, DELETE";
    case TextKind::kTime:
      return "a time in UTC of the form 2027-01-31T12:00:00Z";
  }
  return "";
}

std::string FormatNumber(double value) {
  return Json(value).dump();
}

}  // namespace

std::string FormatValue(const Json& value) {
  std::string text = value.dump(-1, ' ', false, Json::error_handler_t::replace);
  if (text.size() > kMaxDisplayedBytes) {
    text.resize(kMaxDisplayedBytes);
    text += "...";
  }
  return text;
}

ObjectReader::ObjectReader(const Json& value,
                           std::string path,
                           ReadContext& context)
    : value_(value), path_(std::move(path)), context_(context) {}

void ObjectReader::AddFault(const char* name,
                            const Json& value,
                            std::string allowed) {
  flamingogauge::AddFault(*context_.faults, {.section = context_.section,
                                             .path = path_ + "/" + name,
                                             .value = FormatValue(value),
                                             .allowed = std::move(allowed)});
}

const Json* ObjectReader::Find(const char* name) {
  known_names_.emplace_back(name);
  const auto it = value_.find(name);
  return it == value_.end() ? nullptr : &*it;
}

void ObjectReader::Text(const char* name,
                        std::string& out,
                        TextKind kind,
                        Presence presence) {
  const Json* field = Find(name);
  if (field == nullptr) {
    if (presence == Presence::kRequired) {
      AddFault(name, Json(),
               std::string("is missing; required: ") + Describe(kind));
    }
    return;
  }
  if (!field->is_string() || !IsValid(field->get<std::string>(), kind)) {
    AddFault(name, *field, Describe(kind));
    return;
  }
  out = field->get<std::string>();
}

void ObjectReader::Texts(const char* name,
                         std::vector<std::string>& out,
                         TextKind kind,
                         std::size_t min_count,
                         std::size_t max_count) {
  const Json* field = Find(name);
  const std::string allowed = "an array of " + std::to_string(min_count) +
                              " to " + std::to_string(max_count) +
                              " elements, each " + Describe(kind);
  if (field == nullptr) {
    if (out.size() < min_count) {
      AddFault(name, Json(), "is missing; required: " + allowed);
    }
    return;
  }
  if (!field->is_array() || field->size() < min_count ||
      field->size() > max_count) {
    AddFault(name, *field, allowed);
    return;
  }
  out.clear();
  for (std::size_t it = 0; it < field->size(); ++it) {
    const Json& element = (*field)[it];
    if (!element.is_string() || !IsValid(element.get<std::string>(), kind)) {
      AddFault((std::string(name) + "/" + std::to_string(it)).c_str(), element,
               Describe(kind));
    } else {
      out.push_back(element.get<std::string>());
    }
  }
}

void ObjectReader::Choice(const char* name,
                          std::string& out,
                          const std::vector<std::string>& choices) {
  const Json* field = Find(name);
  if (field == nullptr) {
    return;
  }
  const bool is_allowed = field->is_string() &&
                          std::find(choices.begin(), choices.end(),
                                    field->get<std::string>()) != choices.end();
  if (is_allowed) {
    out = field->get<std::string>();
    return;
  }
  std::string allowed = "one of";
  for (const std::string& it : choices) {
    allowed += " \"" + it + "\"";
  }
  AddFault(name, *field, std::move(allowed));
}

void ObjectReader::Bool(const char* name, bool& out) {
  const Json* field = Find(name);
  if (field == nullptr) {
    return;
  }
  if (!field->is_boolean()) {
    AddFault(name, *field, "true or false");
    return;
  }
  out = field->get<bool>();
}

void ObjectReader::Number(const char* name,
                          double& out,
                          double min,
                          double max) {
  const Json* field = Find(name);
  if (field == nullptr) {
    return;
  }
  const bool is_in_range = field->is_number() && field->get<double>() >= min &&
                           field->get<double>() <= max;
  if (!is_in_range) {
    AddFault(name, *field,
             "a number from " + FormatNumber(min) + " to " + FormatNumber(max));
    return;
  }
  out = field->get<double>();
}

bool ObjectReader::ReadInteger(const char* name,
                               std::uint64_t min,
                               std::uint64_t max,
                               const char* unit,
                               std::uint64_t& out) {
  const Json* field = Find(name);
  if (field == nullptr) {
    return false;
  }
  // nlohmann::json stores negative integers as signed numbers, so
  // is_number_unsigned() excludes them.
  const bool is_in_range = field->is_number_unsigned() &&
                           field->get<std::uint64_t>() >= min &&
                           field->get<std::uint64_t>() <= max;
  if (!is_in_range) {
    std::string allowed =
        "an integer from " + std::to_string(min) + " to " + std::to_string(max);
    const std::string_view field_name(name);
    if (field_name.ends_with("_ms")) {
      allowed += " milliseconds";
    } else if (field_name.ends_with("_us")) {
      allowed += " microseconds";
    } else if (*unit != '\0') {
      allowed += std::string(" ") + unit;
    }
    AddFault(name, *field, std::move(allowed));
    return false;
  }
  out = field->get<std::uint64_t>();
  return true;
}

void ObjectReader::Object(const char* name,
                          const std::function<void(ObjectReader&)>& read) {
  const Json* field = Find(name);
  if (field == nullptr) {
    return;
  }
  if (!field->is_object()) {
    AddFault(name, *field, "an object");
    return;
  }
  ObjectReader reader(*field, path_ + "/" + name, context_);
  read(reader);
  reader.Finish();
}

void ObjectReader::Objects(const char* name,
                           std::size_t max_count,
                           const std::function<void(ObjectReader&)>& read) {
  const Json* field = Find(name);
  if (field != nullptr) {
    ReadObjects(*field, path_ + "/" + name, max_count, context_, read);
  }
}

void ObjectReader::Finish() {
  if (context_.unknown_fields == UnknownFields::kIgnore) {
    return;
  }
  for (const auto& [name, value] : value_.items()) {
    if (std::find(known_names_.begin(), known_names_.end(), name) !=
        known_names_.end()) {
      continue;
    }
    const std::string nearest = NearestName(name, known_names_);
    std::string allowed = "unknown field";
    if (!nearest.empty()) {
      allowed += "; did you mean \"" + nearest + "\"?";
    } else {
      allowed += "; known fields:";
      for (const std::string& it : known_names_) {
        allowed += " " + it;
      }
    }
    AddFault(name.c_str(), value, std::move(allowed));
  }
}

void ReadObjects(const Json& array,
                 const std::string& path,
                 std::size_t max_count,
                 ReadContext& context,
                 const std::function<void(ObjectReader&)>& read) {
  if (!array.is_array() || array.size() > max_count) {
    AddFault(
        *context.faults,
        {.section = context.section,
         .path = path,
         .value = array.is_array() ? std::to_string(array.size()) + " elements"
                                   : FormatValue(array),
         .allowed =
             "an array of up to " + std::to_string(max_count) + " objects"});
    return;
  }
  for (std::size_t it = 0; it < array.size(); ++it) {
    const std::string element_path = path + "/" + std::to_string(it);
    if (!array[it].is_object()) {
      AddFault(*context.faults, {.section = context.section,
                                 .path = element_path,
                                 .value = FormatValue(array[it]),
                                 .allowed = "an object"});
      continue;
    }
    ObjectReader reader(array[it], element_path, context);
    read(reader);
    reader.Finish();
  }
}

}  // namespace flamingogauge
