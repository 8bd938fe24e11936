#include "plugins/platform/platform_protocol.h"

#include <openssl/evp.h>

#include <cctype>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace flamingogauge {
namespace {

using nlohmann::json;

std::string EncodeBase64(std::string_view bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int n =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(n));
  return text;
}

std::optional<std::string> DecodeBase64(const std::string& text) {
  std::string bytes(3 * (text.size() / 4) + 1, '\0');
  const int n =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (n < 0) {
    return std::nullopt;
  }
  // EVP_DecodeBlock includes the padding in the decoded length.
  std::size_t size = static_cast<std::size_t>(n);
  for (std::size_t it = 0; it < 2 && it < text.size(); ++it) {
    size -= text[text.size() - 1 - it] == '=' ? 1 : 0;
  }
  bytes.resize(size);
  return bytes;
}

// Throws a JSON exception on a type mismatch. Call only within Decode().
std::string GetString(const json& value, const char* name) {
  return value.value(name, std::string());
}

template <typename Function>
auto Decode(std::string_view text, Function function)
    -> std::optional<decltype(function(json()))> {
  const json value = json::parse(text, nullptr, false);
  if (!value.is_object()) {
    return std::nullopt;
  }
  try {
    return function(value);
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string EncodeObject(const StoredObject& object) {
  json value = {{"key", object.key},
                {"value", object.value},
                {"version", object.version}};
  try {
    return value.dump();
  } catch (const json::exception&) {
    value.erase("value");
    value["value_base64"] = EncodeBase64(object.value);
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
  }
}

std::optional<StoredObject> DecodeObject(std::string_view text) {
  return Decode(text, [](const json& value) {
    StoredObject object{.key = GetString(value, "key"),
                        .value = GetString(value, "value"),
                        .version = value.value("version", std::uint64_t{0})};
    if (value.contains("value_base64")) {
      object.value =
          DecodeBase64(GetString(value, "value_base64")).value_or("");
    }
    return object;
  });
}

std::string EncodeObjectList(const std::vector<StoredObject>& objects) {
  json list = json::array();
  for (const StoredObject& it : objects) {
    list.push_back({{"key", it.key}, {"version", it.version}});
  }
  return json{{"objects", std::move(list)}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
}

std::optional<std::vector<StoredObject>> DecodeObjectList(
    std::string_view text) {
  return Decode(text, [](const json& value) {
    std::vector<StoredObject> objects;
    for (const json& it : value.at("objects")) {
      objects.push_back({.key = it.at("key").get<std::string>(),
                         .value = "",
                         .version = it.at("version").get<std::uint64_t>()});
    }
    return objects;
  });
}

std::string EncodeHosts(const std::vector<ListedHost>& hosts) {
  json list = json::array();
  for (const ListedHost& it : hosts) {
    list.push_back({{"host", it.host},
                    {"data_centre", it.data_centre},
                    {"region", it.region},
                    {"peer_address", it.peer_address},
                    {"leaving", it.leaving}});
  }
  return json{{"hosts", std::move(list)}}.dump(-1, ' ', false,
                                               json::error_handler_t::replace);
}

std::optional<std::vector<ListedHost>> DecodeHosts(std::string_view text) {
  return Decode(text, [](const json& value) {
    std::vector<ListedHost> hosts;
    for (const json& it : value.at("hosts")) {
      hosts.push_back({.host = it.at("host").get<std::string>(),
                       .data_centre = GetString(it, "data_centre"),
                       .region = GetString(it, "region"),
                       .peer_address = GetString(it, "peer_address"),
                       .leaving = it.value("leaving", false)});
    }
    return hosts;
  });
}

std::string EncodeKey(std::string_view key) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string text;
  for (const char it : key) {
    const auto byte = static_cast<unsigned char>(it);
    if (std::isalnum(byte) != 0 ||
        std::string_view("-._~/").find(it) != std::string_view::npos) {
      text += it;
    } else {
      text += '%';
      text += kDigits[byte >> 4U];
      text += kDigits[byte & 15U];
    }
  }
  return text;
}

std::string DecodeKey(std::string_view text) {
  std::string key;
  for (std::size_t it = 0; it < text.size(); ++it) {
    const bool is_escape = text[it] == '%' && it + 2 < text.size() &&
                           std::isxdigit(text[it + 1]) != 0 &&
                           std::isxdigit(text[it + 2]) != 0;
    if (is_escape) {
      key += static_cast<char>(
          std::stoi(std::string(text.substr(it + 1, 2)), nullptr, 16));
      it += 2;
    } else {
      key += text[it];
    }
  }
  return key;
}

}  // namespace flamingogauge
