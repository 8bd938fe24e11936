#include "plugins/requests/answer_assembler.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace flamingogauge {
namespace {

using Json = nlohmann::ordered_json;

std::int64_t IndexOf(const Json& object) {
  const auto found = object.find("index");
  return found != object.end() && found->is_number_integer()
             ? found->get<std::int64_t>()
             : 0;
}

// Merges a delta into `target`: appends strings, merges objects and arrays
// recursively, and replaces all other values.
void MergeDelta(Json& target, const Json& delta);

// Merges an array whose elements carry an index (tool calls).
void MergeIndexed(Json& target, const Json& delta) {
  for (const Json& it : delta) {
    Json* element = nullptr;
    for (Json& existing : target) {
      if (it.is_object() && existing.is_object() &&
          IndexOf(existing) == IndexOf(it)) {
        element = &existing;
      }
    }
    if (element == nullptr) {
      target.push_back(it);
    } else {
      MergeDelta(*element, it);
    }
  }
}

void MergeDelta(Json& target, const Json& delta) {
  for (const auto& [key, value] : delta.items()) {
    Json& slot = target[key];
    if (slot.is_string() && value.is_string() && key != "role" && key != "id" &&
        key != "type") {
      slot.get_ref<std::string&>() += value.get_ref<const std::string&>();
    } else if (slot.is_object() && value.is_object()) {
      MergeDelta(slot, value);
    } else if (slot.is_array() && value.is_array()) {
      MergeIndexed(slot, value);
    } else if (!value.is_null() || slot.is_null()) {
      slot = value;
    }
  }
}

}  // namespace

class AnswerAssembler::Impl {
 public:
  void Add(std::string_view event) {
    const Json chunk = Json::parse(event, nullptr, false);
    if (!chunk.is_object() || chunk.contains("error")) {
      error_ = error_.empty() ? std::string(event.substr(0, 512)) : error_;
      return;
    }
    size_ += event.size();
    for (const auto& [key, value] : chunk.items()) {
      if (key == "choices" && value.is_array()) {
        for (const Json& it : value) {
          AddChoice(it);
        }
      } else if (!value.is_null()) {
        // Fields repeated in later chunks replace the earlier values.
        answer_[key] = value;
      }
    }
  }

  std::size_t size() const { return size_; }

  Result<std::string> Finish() {
    if (!error_.empty() || choices_.empty()) {
      return Error{.code = ErrorCode::kInternal,
                   .step = "assemble answer",
                   .message = error_.empty() ? "the stream has no choices"
                                             : "event " + error_};
    }
    answer_["object"] = "chat.completion";
    answer_["choices"] = Json::array();
    for (auto& [index, choice] : choices_) {
      answer_["choices"].push_back(std::move(choice));
    }
    return answer_.dump(-1, ' ', false, Json::error_handler_t::replace);
  }

 private:
  void AddChoice(const Json& choice) {
    if (!choice.is_object()) {
      return;
    }
    const std::int64_t index = IndexOf(choice);
    auto [found, is_new] = choices_.try_emplace(index);
    Json& target = found->second;
    if (is_new) {
      target = {{"index", index},
                {"message", Json{{"role", "assistant"}, {"content", ""}}}};
    }
    for (const auto& [key, value] : choice.items()) {
      if (key == "delta" && value.is_object()) {
        MergeDelta(target["message"], value);
      } else if (key != "index" && !value.is_null()) {
        target[key] = value;
      }
    }
  }

  Json answer_ = Json::object();
  std::map<std::int64_t, Json> choices_;
  std::string error_;
  std::size_t size_ = 0;
};

AnswerAssembler::AnswerAssembler() : impl_(std::make_unique<Impl>()) {}
AnswerAssembler::~AnswerAssembler() = default;

void AnswerAssembler::Add(std::string_view event) {
  impl_->Add(event);
}

std::size_t AnswerAssembler::size() const {
  return impl_->size();
}

Result<std::string> AnswerAssembler::Finish() {
  return impl_->Finish();
}

}  // namespace flamingogauge
