#ifndef FLAMINGOGAUGE_LIBS_HTTP_FRAMING_HTTP_FIELDS_H_
#define FLAMINGOGAUGE_LIBS_HTTP_FRAMING_HTTP_FIELDS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace flamingogauge {

// Compares two header names or tokens case-insensitively.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

struct HttpField {
  std::string name;
  std::string value;
};

// The header fields of one message, in the order of their receipt.
class HttpFields {
 public:
  void Add(std::string_view name, std::string_view value);
  // Returns the value of the first field with that name, or null.
  const std::string* Find(std::string_view name) const;
  std::size_t Count(std::string_view name) const;
  // Returns whether a field with that name contains `token` in its
  // comma-separated list.
  bool HasToken(std::string_view name, std::string_view token) const;
  // Removes the hop-by-hop fields: the standard ones, including the framing
  // fields, and those listed in Connection (RFC 9110, section 7.6.1).
  void RemoveHopByHop();
  void Remove(std::string_view name);
  const std::vector<HttpField>& all() const { return fields_; }
  // The memory in use, in bytes.
  std::size_t HeldBytes() const;

 private:
  std::vector<HttpField> fields_;
};

// Appends "name: value\r\n".
void AppendField(std::string_view name,
                 std::string_view value,
                 std::string& out);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_HTTP_FRAMING_HTTP_FIELDS_H_
