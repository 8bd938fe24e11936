#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_FIRST_EVENT_MODEL_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_FIRST_EVENT_MODEL_H_

#include <chrono>
#include <optional>

namespace flamingogauge {

// The time from sending a request to its first event on an upstream of normal
// speed, as a line over the number of prompt tokens, fitted to the latest
// answers of a service.
class FirstEventModel {
 public:
  using Seconds = std::chrono::duration<double>;

  // Adds an answer. `first_event` is divided by how much slower than normal its
  // upstream is.
  void Add(double prompt_tokens, Seconds first_event);

  // None before the first answers.
  std::optional<Seconds> Expect(double prompt_tokens) const;
  // The time that a prompt token adds; none before the first answers.
  std::optional<Seconds> TimePerToken() const;

 private:
  struct Line {
    double base = 0;
    double slope = 0;
  };
  Line Fit() const;

  // Sums over the answers, each weighted by its age in answers.
  double weight_ = 0;
  double tokens_ = 0;
  double seconds_ = 0;
  double tokens_squared_ = 0;
  double tokens_seconds_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_FIRST_EVENT_MODEL_H_
