#include "plugins/gateway/request_explainer.h"

#include <utility>

namespace flamingogauge {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Returns a key of the workspace, or null.
const std::string* FindKeyOf(const RoutingTable& routing,
                             const std::string& workspace) {
  for (const auto& [key, index] : routing.workspace_by_key()) {
    if (routing.workspaces[index].name == workspace) {
      return &key;
    }
  }
  return nullptr;
}

// Describes what the classification found out.
void Describe(const AcceptedRequest& accepted,
              MonotonicTime now,
              Explanation& explanation) {
  if (accepted.route == nullptr) {
    return;
  }
  explanation.route = accepted.route->name;
  for (const WeightedService& it : accepted.route->services) {
    explanation.services.push_back(it.service);
  }
  if (accepted.workspace != nullptr) {
    explanation.workspace = accepted.workspace->name;
  }
  explanation.service = accepted.service;
  explanation.priority = PriorityOf(*accepted.route, accepted.workspace);
  explanation.due_in = duration_cast<milliseconds>(accepted.due_at - now);
  explanation.deadline_in =
      duration_cast<milliseconds>(accepted.deadline - now);
  explanation.limit_units = accepted.spent;
}

}  // namespace

Result<Explanation> RequestExplainer::Explain(const ExplainQuestion& question,
                                              const PlacementView& view,
                                              MonotonicTime now) const {
  Result<ParsedRequest> request = ToRequest(question);
  if (!request) {
    return request.error();
  }
  const std::string& host = context_.settings.host;
  Explanation explanation{
      .host = host,
      .decided_by = view.coordinator.empty() ? host : view.coordinator};
  if (const auto reported_at = view.dispatcher->OldestReport()) {
    explanation.view_age = duration_cast<milliseconds>(now - *reported_at);
  }
  AcceptedRequest accepted{.request = std::move(request.value()),
                           .arrived_at = now,
                           .routing = context_.fleet.routing,
                           .request_id = question.request_id};
  if (accepted.routing) {
    explanation.routing_version = accepted.routing->version;
    explanation.routing_age =
        duration_cast<milliseconds>(classifier_.RoutingAge(now));
  }
  const std::optional<Denial> denial = classifier_.Classify(accepted, now);
  Describe(accepted, now, explanation);
  if (denial) {
    explanation.refusal =
        Explanation::Refusal{.status = denial->status,
                             .reason = denial->reason,
                             .retry_after = denial->retry_after};
  } else {
    explanation.placement = ExplainPlacement(accepted, view, now);
  }
  return explanation;
}

PlacementExplanation RequestExplainer::ExplainPlacement(
    const AcceptedRequest& accepted,
    const PlacementView& view,
    MonotonicTime now) const {
  WaitingRequest waiting = MakeWaitingRequest(accepted);
  const bool is_own_view = view.dispatcher == &context_.placer.dispatcher();
  if (!is_own_view) {
    context_.placer.ExcludeHeldBack(waiting, now);
  }
  PlacementExplanation placement = view.dispatcher->Explain(waiting, now);
  for (CandidateExplanation& it : placement.candidates) {
    // A request that has not been sent was tried nowhere.
    if (it.state == CandidateState::kTriedBefore) {
      it.state = CandidateState::kHeldBack;
    }
  }
  return placement;
}

Result<ParsedRequest> RequestExplainer::ToRequest(
    const ExplainQuestion& question) const {
  const RelayHeaderNames& names = context_.settings.headers;
  ParsedRequest request{.method = question.method,
                        .target = question.target,
                        .body = question.body};
  const auto add = [&request](const std::string& name,
                              const std::string& value) {
    if (!name.empty() && !value.empty()) {
      request.fields.Add(name, value);
    }
  };
  add("Host", question.host);
  add(names.key, question.key);
  if (!question.workspace.empty() && context_.fleet.routing) {
    const std::string* key =
        FindKeyOf(*context_.fleet.routing, question.workspace);
    if (key == nullptr) {
      return Error{.code = ErrorCode::kInvalidArgument,
                   .step = "read the question",
                   .peer = "",
                   .message = "workspace: allowed: one that has a key"};
    }
    add(names.key, *key);
  }
  add(names.request_id, question.request_id);
  if (question.time_limit) {
    add(names.time_limit_ms, std::to_string(question.time_limit->count()));
  }
  if (question.prompt_tokens + question.output_tokens > 0) {
    add(names.token_count, std::to_string(question.prompt_tokens) + "," +
                               std::to_string(question.output_tokens));
  }
  if (question.expected_output_tokens > 0) {
    add(names.length_hint, std::to_string(question.expected_output_tokens));
  }
  add(names.prompt_prefix, question.prompt_prefix);
  return request;
}

}  // namespace flamingogauge
