#include "plugins/gateway/request_classifier.h"

#include <algorithm>

#include "libs/dispatching/return_schedule.h"
#include "libs/model/fingerprint.h"
#include "plugins/gateway/exchange.h"
#include "plugins/gateway/request_fields.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr milliseconds kRetryAfterStaleRouting{700};
constexpr milliseconds kMinRetryAfterLimit{500};

}  // namespace

std::optional<Denial> RequestClassifier::Classify(AcceptedRequest& accepted,
                                                  MonotonicTime now) const {
  if (!accepted.routing) {
    return Denial{kServiceUnavailable, "no routing document yet",
                  kRetryAfterStaleRouting};
  }
  if (std::optional<Denial> denial = CheckRoute(accepted)) {
    return denial;
  }
  if (std::optional<Denial> denial = CheckKey(accepted)) {
    return denial;
  }
  accepted.deadline = accepted.arrived_at + std::min(accepted.route->timeout,
                                                     CallerTimeout(accepted));
  if (context_.drain &&
      !context_.drain->AcceptsRequest(now, accepted.deadline)) {
    return Denial{kServiceUnavailable, kStoppingReason, kRetryAfterStopping};
  }
  ReadFields(accepted);
  if (std::optional<Denial> denial = CheckQuarantine(accepted)) {
    return denial;
  }
  return CheckLimit(accepted);
}

milliseconds RequestClassifier::CallerTimeout(
    const AcceptedRequest& accepted) const {
  return ReadCallerTimeout(context_.settings.headers, accepted.request.fields,
                           accepted.route->timeout);
}

Duration RequestClassifier::RoutingAge(MonotonicTime now) const {
  return context_.fleet.routing ? now - context_.fleet.routing_confirmed_at
                                : Duration::max();
}

std::optional<Denial> RequestClassifier::CheckRoute(
    AcceptedRequest& accepted) const {
  const ParsedRequest& request = accepted.request;
  const std::string* host = request.fields.Find("Host");
  const std::string path = request.target.substr(0, request.target.find('?'));
  accepted.route =
      accepted.routing->FindRoute(host != nullptr ? *host : "", path);
  if (accepted.route != nullptr) {
    return std::nullopt;
  }
  if (RoutingAge(accepted.arrived_at) >
      context_.settings.changes.max_denial_age()) {
    return Denial{kServiceUnavailable, "no route in a document that is old",
                  kRetryAfterStaleRouting};
  }
  return Denial{kNotFound, "no route", std::nullopt};
}

std::optional<Denial> RequestClassifier::CheckKey(
    AcceptedRequest& accepted) const {
  if (accepted.route->anonymous || accepted.routing->workspaces.empty()) {
    return std::nullopt;
  }
  const Duration age = RoutingAge(accepted.arrived_at);
  if (age > context_.settings.changes.max_key_age()) {
    return Denial{kServiceUnavailable, "keys cannot be confirmed",
                  kRetryAfterStaleRouting};
  }
  const std::string* key =
      accepted.request.fields.Find(context_.settings.headers.key);
  accepted.workspace =
      key == nullptr ? nullptr : accepted.routing->FindKey(*key);
  if (accepted.workspace != nullptr) {
    return std::nullopt;
  }
  if (key != nullptr && age > context_.settings.changes.max_denial_age()) {
    return Denial{kServiceUnavailable, "an unknown key, with old keys",
                  kRetryAfterStaleRouting};
  }
  return Denial{kUnauthorized, "unknown key", std::nullopt};
}

void RequestClassifier::ReadFields(AcceptedRequest& accepted) const {
  const Route& route = *accepted.route;
  accepted.service = ChooseService(route, accepted.request_id);
  ReadTokenCounts(context_.settings.headers, accepted);
  // The latency target counts from the caller's first attempt.
  const milliseconds prior_wait = prior_waits_.EstimatePriorWait(
      route.name, CallerTimeout(accepted), route.timeout);
  accepted.due_at = accepted.arrived_at + route.target_latency - prior_wait;
  // Whoever comes back earlier does not return as it was told.
  accepted.returned = prior_wait >= ReturnSchedule::kMinDelay;
  accepted.keys.request =
      ComputeFingerprint(
          accepted.request.target + "\n" +
              (accepted.workspace != nullptr ? accepted.workspace->name : ""),
          accepted.request.body)
          .low;
}

std::optional<Denial> RequestClassifier::CheckQuarantine(
    const AcceptedRequest& accepted) const {
  const auto refusal =
      context_.crashes.FindRefusal(accepted.keys, accepted.arrived_at);
  if (!refusal) {
    return std::nullopt;
  }
  return Denial{.status = kServiceUnavailable,
                .reason = QuarantineReason(refusal->key),
                .retry_after = refusal->time_left,
                .is_quarantined = true};
}

std::optional<Denial> RequestClassifier::CheckLimit(
    AcceptedRequest& accepted) const {
  const WorkspaceEntry* workspace = accepted.workspace;
  if (workspace == nullptr || workspace->rate_per_second <= 0) {
    return std::nullopt;
  }
  double amount = 1;
  int priority = PriorityOf(*accepted.route, workspace);
  if (workspace->counts_tokens) {
    amount = accepted.prompt_tokens + accepted.output_tokens;
    if (amount <= 0) {
      amount = workspace->plain_tokens;
      // Too little to be missed by requests with prompts.
      priority = 0;
    }
  }
  accepted.spent = amount;
  accepted.limit_priority = priority;
  const MonotonicTime now = accepted.arrived_at;
  const SharedRateLimiter& limiter = context_.rate_limiter;
  if (!limiter.IsWithinLimit(*workspace, amount, now, priority)) {
    return Denial{kTooManyRequests, "the workspace is over its limit",
                  std::max(kMinRetryAfterLimit,
                           limiter.TimeUntilCredit(*workspace, now, priority))};
  }
  return std::nullopt;
}

}  // namespace flamingogauge
