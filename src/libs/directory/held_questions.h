#ifndef FLAMINGOGAUGE_LIBS_DIRECTORY_HELD_QUESTIONS_H_
#define FLAMINGOGAUGE_LIBS_DIRECTORY_HELD_QUESTIONS_H_

#include <chrono>
#include <functional>
#include <vector>

#include "libs/directory/fleet_view.h"
#include "libs/directory/relay_messages.h"
#include "libs/kernel/time.h"

namespace flamingogauge {

// Whether a host reads the store, as far as other hosts are concerned.
enum class StoreReading {
  // It asks another host instead.
  kNone,
  // It has started to, and does not know yet whether the store answers.
  kStarting,
  kWorking,
  kFailing,
};

// Questions of other hosts that wait for news. A host that does not read the
// store holds them for a short time only, in which it may take over the reading
// from one that failed.
class HeldQuestions {
 public:
  using ReplyCallback = std::function<void(RelayReply)>;

  // How long a host that does not read the store holds a question.
  static constexpr std::chrono::milliseconds kIdleHold{100};

  void Add(const RelayQuestion& question,
           ReplyCallback reply,
           MonotonicTime now);

  // Replies to the questions that are due. A confirmation younger than
  // `recent_age` is news to a host whose document is stale.
  void ReplyToDue(const FleetView& view,
                  StoreReading reading,
                  std::chrono::milliseconds recent_age,
                  MonotonicTime now);

  // The time at which the next question is due if nothing happens.
  MonotonicTime NextDueAt(StoreReading reading) const;
  std::size_t size() const { return held_.size(); }

 private:
  struct Held {
    RelayQuestion question;
    ReplyCallback reply;
    MonotonicTime received_at;
  };

  static MonotonicTime DueAt(const Held& held, StoreReading reading);

  std::vector<Held> held_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DIRECTORY_HELD_QUESTIONS_H_
