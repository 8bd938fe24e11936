#include "plugins/claims/claim_record_json.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace flamingogauge {
namespace {

using nlohmann::json;

constexpr std::string_view kClaimed = "claimed";
constexpr std::string_view kReleased = "released";
constexpr std::string_view kDone = "done";

std::string_view StateName(ClaimState state) {
  switch (state) {
    case ClaimState::kClaimed:
      return kClaimed;
    case ClaimState::kReleased:
      return kReleased;
    case ClaimState::kDone:
      return kDone;
  }
  return kClaimed;
}

std::optional<ClaimState> StateFromName(std::string_view name) {
  if (name == kClaimed) {
    return ClaimState::kClaimed;
  }
  if (name == kReleased) {
    return ClaimState::kReleased;
  }
  if (name == kDone) {
    return ClaimState::kDone;
  }
  return std::nullopt;
}

json HighLowArray(std::uint64_t high, std::uint64_t low) {
  return json::array({high, low});
}

bool IsUtf8(const std::string& text) {
  try {
    (void)json(text).dump();
    return true;
  } catch (const json::exception&) {
    return false;
  }
}

}  // namespace

std::string ClaimRecordToJson(const ClaimRecord& record) {
  json object = {
      {"state", StateName(record.state)},
      {"token", HighLowArray(record.token.high, record.token.low)},
      {"owner", HighLowArray(record.owner.high, record.owner.low)},
      {"fingerprint",
       HighLowArray(record.fingerprint.high, record.fingerprint.low)},
      {"epoch", record.epoch},
  };
  if (record.state == ClaimState::kDone) {
    const RecordedOutcome& outcome = record.outcome;
    const bool keep = outcome.body_kept &&
                      outcome.body.size() <= kMaxKeptBodyBytes &&
                      IsUtf8(outcome.body) && IsUtf8(outcome.content_type);
    object["status"] = outcome.status;
    object["content_type"] = keep ? outcome.content_type : "";
    object["body"] = keep ? outcome.body : "";
    object["body_kept"] = keep;
  }
  return object.dump();
}

std::optional<ClaimRecord> ClaimRecordFromJson(const std::string& text) {
  try {
    const json object = json::parse(text);
    const auto state =
        StateFromName(object.at("state").get_ref<const std::string&>());
    if (!state) {
      return std::nullopt;
    }
    ClaimRecord record{
        .state = *state,
        .token = {.high = object.at("token").at(0),
                  .low = object.at("token").at(1)},
        .owner = {.high = object.at("owner").at(0),
                  .low = object.at("owner").at(1)},
        .fingerprint = {.high = object.at("fingerprint").at(0),
                        .low = object.at("fingerprint").at(1)},
        .epoch = object.at("epoch"),
    };
    if (record.state == ClaimState::kDone) {
      record.outcome = {.status = object.at("status"),
                        .content_type = object.at("content_type"),
                        .body = object.at("body"),
                        .body_kept = object.at("body_kept")};
    }
    return record;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace flamingogauge
