#ifndef FLAMINGOGAUGE_LIBS_HTTP_FRAMING_HTTP_FIELDS_H_
#define FLAMINGOGAUGE_LIBS_HTTP_FRAMING_HTTP_FIELDS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace flamingogauge {

// Compares two header names or tokens without regard to case.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

struct HttpField {
  std::string name;
  std::string value;
};

// The header fields of one message in the order in which they were received.
class HttpFields {
 public:
  void Add(std::string_view name, std::string_view value);
  // Returns the value of the first field of that name, or null.
  const std::string* Find(std::string_view name) const;
  std::size_t Count(std::string_view name) const;
  // True when a field of that name lists `token`, separated by commas.
  bool HasToken(std::string_view name, std::string_view token) const;
  // Removes all fields that concern only one connection: the fixed ones and
  // those that Connection names (RFC 9110, section 7.6.1). Framing fields are
  // among them.
  void RemoveHopByHop();
  void Remove(std::string_view name);
  const std::vector<HttpField>& all() const { return fields_; }

 private:
  std::vector<HttpField> fields_;
};

// Appends "name: value\r\n".
void AppendField(std::string_view name,
                 std::string_view value,
                 std::string& out);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_HTTP_FRAMING_HTTP_FIELDS_H_
