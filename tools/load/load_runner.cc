#include "tools/load/load_runner.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace flamingogauge {
namespace {

constexpr std::chrono::milliseconds kCountTimeLimit{5000};

}  // namespace

LoadRunner::LoadRunner(const LoadOptions& options)
    : options_(options), workload_(options), loop_(options.max_open) {}

LoadRunner::~LoadRunner() {
  loop_.Stop();
  open_requests_.clear();
  exchanges_.clear();
}

LoadSummary LoadRunner::Run() {
  auto finished = finished_.get_future();
  bool started = false;
  loop_.Start([this, started]() mutable {
    if (!std::exchange(started, true)) {
      start_ = std::chrono::steady_clock::now();
      next_ = workload_.Next();
      ScheduleNext();
    }
  });
  loop_.Wake();
  finished.wait();
  loop_.Stop();
  return std::move(summary_);
}

void LoadRunner::ScheduleNext() {
  if (next_.at > options_.duration || next_.number >= options_.max_requests) {
    all_sent_ = true;
    FinishIfDone();
    return;
  }
  loop_.Schedule(start_ + next_.at, [this] { SendNext(); });
}

void LoadRunner::SendNext() {
  const auto late = std::chrono::steady_clock::now() - (start_ + next_.at);
  summary_.longest_start_delay =
      std::max<std::chrono::nanoseconds>(summary_.longest_start_delay, late);
  const PlannedRequest planned = std::exchange(next_, workload_.Next());
  Send(planned, false);
  if (planned.resend_after.count() > 0) {
    ++pending_resends_;
    PlannedRequest resend = planned;
    resend.at += resend.resend_after;
    loop_.Schedule(start_ + resend.at, [this, resend] {
      --pending_resends_;
      Send(resend, true);
      FinishIfDone();
    });
  }
  ScheduleNext();
}

void LoadRunner::Send(const PlannedRequest& planned, bool resend) {
  if (open_requests_.size() >= options_.max_open) {
    ++summary_.not_sent;
    return;
  }
  const RequestClass& chosen = workload_.classes()[planned.class_index];
  const bool direct = !options_.direct.empty() &&
                      chosen.kind == LoadKind::kChat &&
                      (options_.targets.empty() || planned.number % 2 == 1);
  const auto& addresses = direct ? options_.direct : options_.targets;
  // A resend goes to the next host. The number is halved because odd-numbered
  // requests may go to the engines, which would skip addresses.
  const std::size_t n = planned.number / 2 + (resend ? 1 : 0);
  auto request = std::make_unique<LoadRequest>(
      loop_, options_, chosen, planned, addresses[n % addresses.size()],
      LoadResult{.class_index = planned.class_index,
                 .direct = direct,
                 .resend = resend,
                 .planned_at = planned.at},
      start_ + planned.at, [this](LoadRequest* ended, LoadResult result) {
        OnRequestFinished(ended, std::move(result));
      });
  LoadRequest* key = request.get();
  open_requests_.emplace(key, std::move(request));
}

void LoadRunner::OnRequestFinished(LoadRequest* request, LoadResult result) {
  summary_.results.push_back(std::move(result));
  open_requests_.erase(request);
  FinishIfDone();
}

void LoadRunner::FinishIfDone() {
  if (!all_sent_ || !open_requests_.empty() || pending_resends_ > 0) {
    return;
  }
  if (!counts_requested_) {
    counts_requested_ = true;
    RequestExecutionCounts();
    return;
  }
  if (pending_counts_ > 0) {
    return;
  }
  for (const auto& group : executions_) {
    const bool bookings = group.first == "by_key";
    for (const auto& it : group.second) {
      (bookings ? summary_.bookings_executed : summary_.prompts_executed) +=
          it.second;
      (bookings ? summary_.duplicate_bookings : summary_.duplicate_prompts) +=
          it.second - 1;
    }
  }
  finished_.set_value();
}

void LoadRunner::RequestExecutionCounts() {
  pending_counts_ =
      1 + options_.count_engines.size() + options_.count_services.size();
  for (const std::string& it : options_.count_engines) {
    RequestExecutionCount(it, "by_fingerprint");
  }
  for (const std::string& it : options_.count_services) {
    RequestExecutionCount(it, "by_key");
  }
  --pending_counts_;
  FinishIfDone();
}

void LoadRunner::RequestExecutionCount(const std::string& address,
                                       const std::string& group) {
  exchanges_.push_back(std::make_unique<SimpleExchange>(
      loop_, HttpTransferOptions{.address = address, .path = "/executions"},
      kCountTimeLimit, [this, group](const SimpleExchange::Outcome& outcome) {
        AddCounts(outcome, group);
        --pending_counts_;
        FinishIfDone();
      }));
}

void LoadRunner::AddCounts(const SimpleExchange::Outcome& outcome,
                           const std::string& group) {
  const auto json = nlohmann::json::parse(outcome.body, nullptr, false);
  if (!outcome.complete || !json.is_object() || !json.contains(group)) {
    summary_.counts_complete = false;
    return;
  }
  for (const auto& it : json[group].items()) {
    executions_[group][it.key()] += it.value().get<std::uint64_t>();
  }
}

}  // namespace flamingogauge
