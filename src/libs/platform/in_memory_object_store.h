#ifndef FLAMINGOGAUGE_LIBS_PLATFORM_IN_MEMORY_OBJECT_STORE_H_
#define FLAMINGOGAUGE_LIBS_PLATFORM_IN_MEMORY_OBJECT_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "libs/kernel/random.h"
#include "libs/kernel/time.h"
#include "libs/platform/object_table.h"
#include "libs/platform/task_runner.h"
#include "libs/services/object_store.h"

namespace flamingogauge {

// Faults that tests inject into the store; none by default.
struct StoreFaults {
  // All calls fail with kUnavailable and change nothing.
  bool outage = false;
  // The time from a call to its response; a change takes effect after half of
  // it.
  Duration delay = Duration::zero();
  // The number of following changes whose response is lost: they take effect,
  // but the calls fail with kUnknownOutcome.
  int lost_answers = 0;
  // The probability that the response of any further change is lost.
  double lost_answer_probability = 0;
  // The time from the kUnknownOutcome error until such a change takes effect;
  // if zero, it takes effect after half of `delay`. Simulates a write that is
  // still in transit when its sender gives up.
  Duration lost_change_delay = Duration::zero();
};

// An in-memory ObjectStore for a single host without a platform and for tests.
// Thread-safe if the runner is.
class InMemoryObjectStore : public ObjectStore {
 public:
  // Callbacks run on `runner`, which must outlive the store. `seed` determines
  // which responses are lost.
  explicit InMemoryObjectStore(TaskRunner& runner, std::uint64_t seed = 1);
  ~InMemoryObjectStore() override;

  void Get(std::string key, ObjectCallback callback) override;
  void Create(std::string key,
              std::string value,
              ObjectCallback callback) override;
  void Update(std::string key,
              std::string value,
              std::uint64_t expected_version,
              ObjectCallback callback) override;
  void Delete(std::string key,
              std::uint64_t expected_version,
              VoidCallback callback) override;
  void List(std::string prefix, ListCallback callback) override;
  void Watch(std::string key,
             std::uint64_t after_version,
             std::chrono::milliseconds time_limit,
             ObjectCallback callback) override;

  // An outage also fails the pending watches.
  void SetFaults(StoreFaults faults);

  // The number of calls since construction, including watches.
  std::uint64_t CallCount() const;

  // Copies all objects, and replaces them by such a copy. Simulates a store
  // that is restored to an earlier state.
  ObjectTable Snapshot() const;
  void Restore(ObjectTable table);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_PLATFORM_IN_MEMORY_OBJECT_STORE_H_
