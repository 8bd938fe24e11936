#include "libs/http_framing/http_fields.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <functional>

namespace flamingogauge {
namespace {

constexpr std::array<std::string_view, 9> kHopByHop = {
    "Connection",        "Keep-Alive",     "Proxy-Connection",
    "Transfer-Encoding", "Content-Length", "TE",
    "Trailer",           "Upgrade",        "Expect"};

int ToLower(char c) {
  return std::tolower(static_cast<unsigned char>(c));
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

// Calls `visit` for each element of a comma-separated list.
void ForEachToken(std::string_view list,
                  const std::function<void(std::string_view)>& visit) {
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    visit(Trim(list.substr(0, comma)));
    list.remove_prefix(comma == std::string_view::npos ? list.size()
                                                       : comma + 1);
  }
}

}  // namespace

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](char x, char y) { return ToLower(x) == ToLower(y); });
}

void HttpFields::Add(std::string_view name, std::string_view value) {
  fields_.push_back({.name = std::string(name), .value = std::string(value)});
}

const std::string* HttpFields::Find(std::string_view name) const {
  for (const HttpField& it : fields_) {
    if (EqualsIgnoreCase(it.name, name)) {
      return &it.value;
    }
  }
  return nullptr;
}

std::size_t HttpFields::Count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(
      fields_.begin(), fields_.end(),
      [name](const HttpField& it) { return EqualsIgnoreCase(it.name, name); }));
}

bool HttpFields::HasToken(std::string_view name, std::string_view token) const {
  bool found = false;
  for (const HttpField& it : fields_) {
    if (EqualsIgnoreCase(it.name, name)) {
      ForEachToken(it.value, [&found, token](std::string_view element) {
        found = found || EqualsIgnoreCase(element, token);
      });
    }
  }
  return found;
}

void HttpFields::RemoveHopByHop() {
  std::vector<std::string> names(kHopByHop.begin(), kHopByHop.end());
  for (const HttpField& it : fields_) {
    if (EqualsIgnoreCase(it.name, "Connection")) {
      ForEachToken(it.value, [&names](std::string_view token) {
        names.emplace_back(token);
      });
    }
  }
  for (const std::string& it : names) {
    Remove(it);
  }
}

void HttpFields::Remove(std::string_view name) {
  std::erase_if(fields_, [name](const HttpField& it) {
    return EqualsIgnoreCase(it.name, name);
  });
}

std::size_t HttpFields::HeldBytes() const {
  // Shorter strings are stored in the object itself.
  static const std::size_t kInlineBytes = std::string().capacity();
  std::size_t bytes = fields_.capacity() * sizeof(HttpField);
  for (const HttpField& it : fields_) {
    for (const std::string* text : {&it.name, &it.value}) {
      bytes += text->capacity() > kInlineBytes ? text->capacity() : 0;
    }
  }
  return bytes;
}

void AppendField(std::string_view name,
                 std::string_view value,
                 std::string& out) {
  out.append(name).append(": ").append(value).append("\r\n");
}

}  // namespace flamingogauge
