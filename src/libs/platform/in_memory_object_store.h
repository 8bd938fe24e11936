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

// Faults that tests inject into the store; the default is none.
struct StoreFaults {
  // All calls fail with kUnavailable and change nothing.
  bool outage = false;
  // The time from a call to its answer; a change takes effect after half.
  Duration delay = Duration::zero();
  // How many of the next changes take effect without an answer; these calls
  // fail with kUnknownOutcome.
  int lost_answers = 0;
  // The probability that a further change loses its answer.
  double lost_answer_probability = 0;
  // How long after the kUnknownOutcome such a change takes effect. Shows the
  // case of a write that is still on its way when its sender gives up.
  Duration lost_change_delay = Duration::zero();
};

// An ObjectStore in memory: for a single host without a platform, and for
// tests. Safe from any thread when the runner is.
class InMemoryObjectStore : public ObjectStore {
 public:
  // Callbacks run on `runner`, which must outlive the store. `seed` decides
  // which answers are lost.
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

  // An outage also ends the pending watches.
  void SetFaults(StoreFaults faults);

  // The number of calls since the start, watches included.
  std::uint64_t CallCount() const;

  // Copies of all objects, and their replacement by such a copy; shows a store
  // that comes back with an older state.
  ObjectTable Snapshot() const;
  void Restore(ObjectTable table);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_PLATFORM_IN_MEMORY_OBJECT_STORE_H_
