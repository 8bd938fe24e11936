#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_UPSTREAM_PACE_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_UPSTREAM_PACE_H_

#include <optional>
#include <string_view>

#include "libs/kernel/time.h"

namespace flamingogauge {

// What last changed the pace of an upstream.
enum class PaceCause {
  // It was in the first list that this process got.
  kListed,
  kStarted,
  kOnTime,
  kLate,
  kRefused,
  kFailed,
  kConnectionLost,
  // Another coordinator has learned it.
  kReported,
};

// The name of a cause in logs and dumps.
std::string_view ToString(PaceCause cause);

struct UpstreamPaceOptions {
  // The requests at a time that an upstream which has just started gets at
  // first. 0 turns learning off: it then gets all its slots, or one request
  // after a transport error until it has served one.
  int start_requests = 2;
};

// The number of requests that an upstream gets at a time, learned from its
// answers: it grows while they begin as promised and halves when they do not.
// An upstream that has just started or recovered begins with few requests,
// whose number doubles with each round of good answers.
class UpstreamPace {
 public:
  // An upstream that may have been in use for a long time begins with all its
  // slots.
  UpstreamPace(UpstreamPaceOptions options, int slots)
      : options_(options), slots_(slots), requests_(slots) {}

  // The entry states another number of slots.
  void SetSlots(int slots);
  // The upstream's process has just started.
  void OnStarted(MonotonicTime now);
  // An answer began `took` after its request was sent. `is_on_time` says
  // whether that is as promised, `running` how many requests run there.
  void OnAnswer(bool is_on_time, Duration took, int running, MonotonicTime now);
  // It served a request after connections were lost, and runs `running` others.
  void OnRecovered(int running, MonotonicTime now);
  // It refused a request for lack of room.
  void OnRefused(MonotonicTime now);
  // It fails most of its requests.
  void OnFailing(MonotonicTime now);
  // A request ended with a transport error.
  void OnConnectionLost(MonotonicTime now);
  // Another coordinator learned `requests` from an answer at `learned_at`.
  void OnReport(double requests, MonotonicTime learned_at, MonotonicTime now);

  // The number of requests that it may run now; at least one, at most its
  // slots.
  int Limit(MonotonicTime now) const;
  // As learned; a fraction counts towards the next whole request.
  double requests() const { return requests_; }
  PaceCause cause() const { return cause_; }
  // When the limit last changed; none if it never has.
  std::optional<MonotonicTime> changed_at() const { return changed_at_; }
  // Of the newest answer that the pace was learned from; none if it was never
  // learned.
  std::optional<MonotonicTime> learned_at() const { return learned_at_; }

 private:
  void Set(double requests, PaceCause cause, MonotonicTime now);
  // Halves the pace unless the request was sent before it was last reduced.
  void Halve(PaceCause cause, MonotonicTime sent_at, MonotonicTime now);

  bool is_learning() const { return options_.start_requests > 0; }

  UpstreamPaceOptions options_;
  int slots_;
  double requests_;
  PaceCause cause_ = PaceCause::kListed;
  // True while each good answer adds a whole request.
  bool doubles_ = false;
  // Moving average; 1 if all of the latest answers began late.
  double late_share_ = 0;
  // True after a transport error, until a request is served.
  bool is_broken_ = false;
  // Set from the start of its process until its first answer.
  std::optional<MonotonicTime> started_at_;
  std::optional<MonotonicTime> reduced_at_;
  std::optional<MonotonicTime> changed_at_;
  std::optional<MonotonicTime> learned_at_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_UPSTREAM_PACE_H_
