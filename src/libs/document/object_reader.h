#ifndef FLAMINGOGAUGE_LIBS_DOCUMENT_OBJECT_READER_H_
#define FLAMINGOGAUGE_LIBS_DOCUMENT_OBJECT_READER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "libs/document/document_fault.h"
#include "libs/document/document_json.h"

namespace flamingogauge {

// What a text field may hold.
enum class TextKind {
  kName,         // an id: letters, digits and . _ : / @ + -
  kServiceName,  // an id that is one segment of a URL path
  kOptionalName,
  kAddress,  // "ip:port"
  kKeyHash,  // 64 hexadecimal digits
  kMethod,   // an HTTP method
  kTime,     // "2027-01-31T12:00:00Z"
};

enum class Presence { kRequired, kOptional };

// Shared by the readers of one section.
struct ReadContext {
  std::string section;
  UnknownFields unknown_fields = UnknownFields::kRefuse;
  DocumentFaults* faults = nullptr;
};

// Reads the fields of one JSON object of the document. A missing optional field
// leaves the default in place; each fault is added to the context.
class ObjectReader {
 public:
  ObjectReader(const nlohmann::ordered_json& value,
               std::string path,
               ReadContext& context);

  void Text(const char* name,
            std::string& out,
            TextKind kind,
            Presence presence = Presence::kOptional);
  void Texts(const char* name,
             std::vector<std::string>& out,
             TextKind kind,
             std::size_t min_count,
             std::size_t max_count);
  // One of the given words.
  void Choice(const char* name,
              std::string& out,
              const std::vector<std::string>& words);
  void Bool(const char* name, bool& out);
  void Number(const char* name, double& out, double min, double max);

  // An integer from `min` to `max`; `unit` is part of the message.
  template <typename Value>
  void Integer(const char* name,
               Value& out,
               std::uint64_t min,
               std::uint64_t max,
               const char* unit = "") {
    std::uint64_t value = 0;
    if (ReadInteger(name, min, max, unit, value)) {
      out = static_cast<Value>(value);
    }
  }

  // A duration in milliseconds or microseconds, by the field's suffix.
  template <typename Value>
  void Time(const char* name,
            Value& out,
            std::uint64_t min,
            std::uint64_t max) {
    std::uint64_t value = 0;
    if (ReadInteger(name, min, max, "", value)) {
      out = Value(value);
    }
  }

  // Calls `read` for the object in the field, if there is one.
  void Object(const char* name, const std::function<void(ObjectReader&)>& read);

  // Calls `read` for each object of the array in the field.
  void Objects(const char* name,
               std::size_t max_count,
               const std::function<void(ObjectReader&)>& read);

  void AddFault(const char* name,
                const nlohmann::ordered_json& value,
                std::string allowed);

  // Reports the fields that nothing has read.
  void Finish();

 private:
  const nlohmann::ordered_json* Find(const char* name);
  bool ReadInteger(const char* name,
                   std::uint64_t min,
                   std::uint64_t max,
                   const char* unit,
                   std::uint64_t& out);

  const nlohmann::ordered_json& value_;
  std::string path_;
  ReadContext& context_;
  std::vector<std::string> known_names_;
};

// Calls `read` with a reader for each element of an array of objects, whose
// path is `path`.
void ReadObjects(const nlohmann::ordered_json& array,
                 const std::string& path,
                 std::size_t max_count,
                 ReadContext& context,
                 const std::function<void(ObjectReader&)>& read);

// Formats a value for a fault, shortened when it is long.
std::string ShowValue(const nlohmann::ordered_json& value);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DOCUMENT_OBJECT_READER_H_
