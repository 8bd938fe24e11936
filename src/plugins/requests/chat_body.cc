#include "plugins/requests/chat_body.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace flamingogauge {
namespace {

using Json = nlohmann::ordered_json;

// JSON serialization is recursive, so that deeper bodies could overflow the
// stack.
constexpr int kMaxDepth = 64;
constexpr std::size_t kMaxDisplayedBytes = 80;

Error InvalidBody(std::string message) {
  return {.code = ErrorCode::kInvalidArgument,
          .step = "read body",
          .message = std::move(message)};
}

std::string FormatValue(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace)
      .substr(0, kMaxDisplayedBytes);
}

Result<Json> ParseObject(std::string_view text) {
  bool too_deep = false;
  Json body = Json::parse(
      text,
      [&too_deep](int depth, Json::parse_event_t /*event*/, Json& /*value*/) {
        too_deep = too_deep || depth > kMaxDepth;
        return !too_deep;
      },
      /*allow_exceptions=*/false);
  if (too_deep) {
    return InvalidBody("the body is nested deeper than " +
                       std::to_string(kMaxDepth) + " levels");
  }
  if (body.is_discarded() || !body.is_object()) {
    return InvalidBody("the body must be a JSON object");
  }
  return body;
}

Result<void> ReadMaxTokens(const Json& body, ChatBody& chat) {
  for (const char* name : {"max_tokens", "max_completion_tokens"}) {
    const auto found = body.find(name);
    if (found == body.end() || found->is_null()) {
      continue;
    }
    if (!found->is_number_integer() || *found < 1 ||
        *found > std::numeric_limits<std::int32_t>::max()) {
      return InvalidBody(std::string(name) + " is " + FormatValue(*found) +
                         ", allowed is a whole number from 1 to 2147483647");
    }
    chat.max_tokens = found->get<std::uint32_t>();
  }
  return boost::outcome_v2::success();
}

Result<void> ReadMessages(const Json& body, ChatBody& chat) {
  const auto found = body.find("messages");
  if (found == body.end() || !found->is_array() || found->empty()) {
    return InvalidBody("messages must be an array with at least one message");
  }
  for (const Json& it : *found) {
    const auto role = it.is_object() ? it.find("role") : it.end();
    if (!it.is_object() || role == it.end() || !role->is_string()) {
      return InvalidBody("messages holds " + FormatValue(it) +
                         ", allowed is an object with a role and a content");
    }
    if (!chat.prompt.empty()) {
      chat.prompt += "\n";
    }
    const auto content = it.find("content");
    if (content != it.end() && content->is_string()) {
      chat.prompt += content->get_ref<const std::string&>();
    } else if (content != it.end() && !content->is_null()) {
      chat.prompt += content->dump();
    }
  }
  return boost::outcome_v2::success();
}

Result<void> ReadFields(const Json& body, ChatBody& chat) {
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string() ||
      model->get_ref<const std::string&>().empty()) {
    return InvalidBody("model must be the name of a model");
  }
  chat.model = *model;
  const auto stream = body.find("stream");
  if (stream != body.end() && !stream->is_null()) {
    if (!stream->is_boolean()) {
      return InvalidBody("stream is " + FormatValue(*stream) +
                         ", allowed is true or false");
    }
    chat.stream = *stream;
  }
  const auto tier = body.find("tier");
  if (tier != body.end()) {
    if (!tier->is_string()) {
      return InvalidBody("tier is " + FormatValue(*tier) +
                         ", allowed is the name of a tier");
    }
    chat.tier = *tier;
  }
  Result<void> read = ReadMaxTokens(body, chat);
  return read ? ReadMessages(body, chat) : read;
}

std::uint32_t ReadTokenCount(const Json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_number_unsigned()
             ? found->get<std::uint32_t>()
             : 0;
}

}  // namespace

Result<ChatBody> ParseChatBody(std::string_view text) {
  Result<Json> parsed = ParseObject(text);
  if (!parsed) {
    return parsed.error();
  }
  Json& body = parsed.value();
  ChatBody chat;
  Result<void> read = ReadFields(body, chat);
  if (!read) {
    return read.error();
  }
  body.erase("tier");
  Json canonical = body;
  canonical.erase("stream");
  canonical.erase("stream_options");
  chat.canonical = canonical.dump();
  body["stream"] = true;
  if (!chat.stream) {
    body["stream_options"] = {{"include_usage", true}};
  }
  chat.engine_body = body.dump();
  return chat;
}

std::optional<TokenUsage> FindUsage(std::string_view event) {
  if (event.find("\"usage\"") == std::string_view::npos) {
    return std::nullopt;
  }
  const Json json = Json::parse(event, nullptr, false);
  if (!json.is_object() || !json.contains("usage") ||
      !json["usage"].is_object()) {
    return std::nullopt;
  }
  const Json& usage = json["usage"];
  TokenUsage found{.prompt_tokens = ReadTokenCount(usage, "prompt_tokens"),
                   .output_tokens = ReadTokenCount(usage, "completion_tokens")};
  const auto details = usage.find("prompt_tokens_details");
  if (details != usage.end() && details->is_object()) {
    found.cached_tokens = ReadTokenCount(*details, "cached_tokens");
  }
  return found;
}

}  // namespace flamingogauge
