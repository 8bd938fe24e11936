#include "libs/explaining/explanation.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace flamingogauge {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kServiceUnavailable = 503;

Json ToJson(const CandidateExplanation& candidate) {
  Json json{
      {"upstream", candidate.upstream}, {"data_centre", candidate.data_centre},
      {"version", candidate.version},   {"state", ToString(candidate.state)},
      {"running", candidate.running},   {"places", candidate.places}};
  if (!candidate.cost.empty()) {
    json["cost_s"] = candidate.TotalCost();
    for (const CostPart& it : candidate.cost) {
      json["cost_parts_s"][it.name] = it.seconds;
    }
  }
  return json;
}

void AddRefusal(const Explanation::Refusal& refusal, Json& json) {
  json["outcome"] = "refused";
  json["status"] = refusal.status;
  json["reason"] = refusal.reason;
  if (refusal.retry_after) {
    json["retry_after_ms"] = refusal.retry_after->count();
  }
}

void AddPlacement(const PlacementExplanation& placement, Json& json) {
  const CandidateExplanation* chosen = placement.Chosen();
  if (chosen != nullptr) {
    json["outcome"] = "sent";
    json["upstream"] = chosen->upstream;
  } else if (placement.refusal.empty()) {
    json["outcome"] = "waits";
  } else {
    AddRefusal({.status = kServiceUnavailable,
                .reason = placement.refusal,
                .retry_after = placement.retry_after},
               json);
  }
  if (chosen == nullptr) {
    json["expected_wait_ms"] = placement.expected_wait.count();
  }
  json["ahead"] = placement.ahead;
  const std::size_t count =
      std::min(placement.candidates.size(), Explanation::kMaxCandidates);
  json["candidates"] = Json::array();
  for (std::size_t n = 0; n < count; ++n) {
    json["candidates"].push_back(ToJson(placement.candidates[n]));
  }
  json["candidates_not_listed"] = placement.candidates.size() - count;
}

}  // namespace

std::string FormatError(const std::string& message) {
  return Json{{"error", {{"message", message}}}}.dump(
      -1, ' ', false, Json::error_handler_t::replace);
}

std::string FormatExplanation(const Explanation& explanation) {
  Json json{{"host", explanation.host}, {"decided_by", explanation.decided_by}};
  if (explanation.view_age) {
    json["view_age_ms"] = explanation.view_age->count();
  }
  if (explanation.routing_version) {
    json["routing_version"] = *explanation.routing_version;
    json["routing_age_ms"] = explanation.routing_age.count();
  }
  json["route"] = explanation.route;
  if (explanation.services.size() > 1) {
    json["services"] = explanation.services;
  }
  json["service"] = explanation.service;
  json["workspace"] = explanation.workspace;
  if (!explanation.service.empty()) {
    json["priority"] = explanation.priority;
    json["due_in_ms"] = explanation.due_in.count();
    json["deadline_in_ms"] = explanation.deadline_in.count();
    json["limit_units"] = explanation.limit_units;
  }
  if (explanation.refusal) {
    AddRefusal(*explanation.refusal, json);
  } else if (explanation.placement) {
    AddPlacement(*explanation.placement, json);
  } else {
    json["outcome"] = "waits";
    json["reason"] = "the host starts and has no routing document yet";
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace flamingogauge
