#include "libs/directory/held_questions.h"

#include <algorithm>
#include <utility>

namespace flamingogauge {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

void HeldQuestions::Add(const RelayQuestion& question,
                        ReplyCallback reply,
                        MonotonicTime now) {
  held_.push_back(
      {.question = question, .reply = std::move(reply), .received_at = now});
}

MonotonicTime HeldQuestions::DueAt(const Held& held, StoreReading reading) {
  if (reading == StoreReading::kWorking) {
    return held.received_at + held.question.wait;
  }
  // A probe waits for as long, to be told of a takeover that is under way.
  return held.received_at + kIdleHold;
}

void HeldQuestions::ReplyToDue(const FleetView& view,
                               StoreReading reading,
                               milliseconds recent_age,
                               MonotonicTime now) {
  const bool is_recent =
      view.routing() && now - view.routing_confirmed_at() <= recent_age;
  const auto is_due = [&](const Held& it) {
    if (now >= DueAt(it, reading)) {
      return true;
    }
    return !it.question.is_probe && (view.HasNewsFor(it.question) ||
                                     (it.question.is_stale && is_recent));
  };
  const auto due =
      std::stable_partition(held_.begin(), held_.end(),
                            [&is_due](const Held& it) { return !is_due(it); });
  const std::vector<Held> replied(std::make_move_iterator(due),
                                  std::make_move_iterator(held_.end()));
  held_.erase(due, held_.end());
  for (const Held& it : replied) {
    RelayReply reply = view.ReplyTo(it.question, now);
    reply.held_for = duration_cast<milliseconds>(now - it.received_at);
    reply.follows_store = reading == StoreReading::kWorking;
    it.reply(std::move(reply));
  }
}

MonotonicTime HeldQuestions::NextDueAt(StoreReading reading) const {
  MonotonicTime at = MonotonicTime::max();
  for (const Held& it : held_) {
    at = std::min(at, DueAt(it, reading));
  }
  return at;
}

}  // namespace flamingogauge
