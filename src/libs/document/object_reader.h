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

// Format of a text field.
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

// State shared by all readers of one section.
struct ReadContext {
  std::string section;
  UnknownFields unknown_fields = UnknownFields::kRefuse;
  DocumentFaults* faults = nullptr;
};

// Reads and validates the fields of a JSON object in the document. A missing
// optional field leaves the output unchanged; faults are added to the context.
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
  // Reads a string that must be one of `choices`.
  void Choice(const char* name,
              std::string& out,
              const std::vector<std::string>& choices);
  void Bool(const char* name, bool& out);
  void Number(const char* name, double& out, double min, double max);

  // Reads an integer from `min` to `max`. `unit` appears in the fault message.
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

  // Reads a duration in the unit of `Value`. For names that end in _ms or _us,
  // the fault message states the unit.
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

  // Calls `read` for the object in the field, if the field is present.
  void Object(const char* name, const std::function<void(ObjectReader&)>& read);

  // Calls `read` for each object of the array in the field, if the field is
  // present.
  void Objects(const char* name,
               std::size_t max_count,
               const std::function<void(ObjectReader&)>& read);

  void AddFault(const char* name,
                const nlohmann::ordered_json& value,
                std::string allowed);

  // Reports all fields that have not been read, unless unknown fields are
  // ignored.
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

// Calls `read` for each element of an array of objects. `path` is the JSON
// pointer of the array.
void ReadObjects(const nlohmann::ordered_json& array,
                 const std::string& path,
                 std::size_t max_count,
                 ReadContext& context,
                 const std::function<void(ObjectReader&)>& read);

// Formats a value for a fault message; long values are truncated.
std::string FormatValue(const nlohmann::ordered_json& value);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DOCUMENT_OBJECT_READER_H_
