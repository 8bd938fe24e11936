#include "libs/platform/in_memory_object_store.h"

#include <utility>

namespace flamingogauge {
namespace {

constexpr char kPeerName[] = "in-memory store";

Error MakeError(ErrorCode code, std::string step, std::string message) {
  return Error{.code = code,
               .step = std::move(step),
               .peer = kPeerName,
               .message = std::move(message)};
}

struct Waiter {
  std::uint64_t id = 0;
  std::string key;
  std::uint64_t after_version = 0;
  ObjectStore::ObjectCallback callback;
};

}  // namespace

// Shared with the posted tasks, which may run after the store is gone.
struct InMemoryObjectStore::State : std::enable_shared_from_this<State> {
  State(TaskRunner& task_runner, std::uint64_t seed)
      : runner(task_runner), random(seed) {}

  TaskRunner& runner;
  mutable std::mutex mutex;
  ObjectTable table;
  StoreFaults faults;
  Random random;
  std::vector<Waiter> waiters;
  std::uint64_t next_waiter = 1;
  std::uint64_t call_count = 0;

  bool TakeLostAnswer() {
    if (faults.lost_answers > 0) {
      --faults.lost_answers;
      return true;
    }
    return random.NextBool(faults.lost_answer_probability);
  }

  // Runs `callback` with `result` after `delay`, or at once when the runner
  // has no room.
  template <typename Value>
  void Reply(Duration delay,
             std::function<void(Result<Value>)> callback,
             Result<Value> result) {
    if (!runner.PostAfter(delay, [callback, result] { callback(result); })) {
      callback(MakeError(ErrorCode::kResourceExhausted, "answer call",
                         "the task queue is full"));
    }
  }

  template <typename Value>
  void Read(std::function<Result<Value>()> operation,
            std::function<void(Result<Value>)> callback) {
    Duration delay;
    bool outage = false;
    {
      std::lock_guard<std::mutex> lock(mutex);
      ++call_count;
      delay = faults.delay;
      outage = faults.outage;
    }
    if (outage) {
      Reply<Value>(delay, callback, MakeOutage());
      return;
    }
    auto self = shared_from_this();
    Perform<Value>(delay / 2, callback, [self, operation, callback, delay] {
      std::unique_lock<std::mutex> lock(self->mutex);
      Result<Value> result = operation();
      lock.unlock();
      self->Reply<Value>(delay - delay / 2, callback, std::move(result));
    });
  }

  template <typename Value>
  void Change(const std::string& key,
              std::function<Result<Value>()> operation,
              std::function<void(Result<Value>)> callback) {
    StoreFaults current;
    bool lost = false;
    {
      std::lock_guard<std::mutex> lock(mutex);
      ++call_count;
      current = faults;
      lost = !faults.outage && TakeLostAnswer();
    }
    if (current.outage) {
      Reply<Value>(current.delay, callback, MakeOutage());
      return;
    }
    auto self = shared_from_this();
    const Duration until_effect =
        lost && current.lost_change_delay > Duration::zero()
            ? current.delay + current.lost_change_delay
            : current.delay / 2;
    if (lost) {
      Reply<Value>(current.delay, callback,
                   MakeError(ErrorCode::kUnknownOutcome, "change object",
                             "the answer was lost"));
      Perform<Value>(until_effect, {}, [self, key, operation] {
        std::unique_lock<std::mutex> lock(self->mutex);
        const Result<Value> result = operation();
        lock.unlock();
        self->NotifyWaiters(key);
      });
      return;
    }
    Perform<Value>(until_effect, callback,
                   [self, key, operation, callback, current, until_effect] {
                     std::unique_lock<std::mutex> lock(self->mutex);
                     Result<Value> result = operation();
                     lock.unlock();
                     self->Reply<Value>(current.delay - until_effect, callback,
                                        std::move(result));
                     self->NotifyWaiters(key);
                   });
  }

  template <typename Value>
  void Perform(Duration delay,
               const std::function<void(Result<Value>)>& callback,
               TaskRunner::Task task) {
    if (!runner.PostAfter(delay, std::move(task)) && callback) {
      callback(MakeError(ErrorCode::kResourceExhausted, "start call",
                         "the task queue is full"));
    }
  }

  static Error MakeOutage() {
    return MakeError(ErrorCode::kUnavailable, "call store", "injected outage");
  }

  void NotifyWaiters(const std::string& key) {
    std::vector<std::pair<ObjectCallback, StoredObject>> ready;
    {
      std::lock_guard<std::mutex> lock(mutex);
      const Result<StoredObject> object = table.Get(key);
      std::erase_if(waiters, [&](Waiter& it) {
        if (it.key != key || !object ||
            object.value().version <= it.after_version) {
          return false;
        }
        ready.emplace_back(std::move(it.callback), object.value());
        return true;
      });
    }
    for (auto& it : ready) {
      Reply<StoredObject>(Duration::zero(), std::move(it.first),
                          std::move(it.second));
    }
  }

  // Ends one waiter, or all when `id` is 0.
  void EndWaiters(std::uint64_t id, const Error& error) {
    std::vector<ObjectCallback> ended;
    {
      std::lock_guard<std::mutex> lock(mutex);
      std::erase_if(waiters, [&](Waiter& it) {
        if (id != 0 && it.id != id) {
          return false;
        }
        ended.push_back(std::move(it.callback));
        return true;
      });
    }
    for (auto& it : ended) {
      Reply<StoredObject>(Duration::zero(), std::move(it), error);
    }
  }
};

InMemoryObjectStore::InMemoryObjectStore(TaskRunner& runner, std::uint64_t seed)
    : state_(std::make_shared<State>(runner, seed)) {}

InMemoryObjectStore::~InMemoryObjectStore() {
  // Tasks that wait on the runner share the state, so the callbacks of pending
  // watches would otherwise live as long as the runner.
  std::vector<Waiter> dropped;
  std::lock_guard<std::mutex> lock(state_->mutex);
  dropped.swap(state_->waiters);
}

void InMemoryObjectStore::Get(std::string key, ObjectCallback callback) {
  State* state = state_.get();
  state->Read<StoredObject>([state, key] { return state->table.Get(key); },
                            std::move(callback));
}

void InMemoryObjectStore::Create(std::string key,
                                 std::string value,
                                 ObjectCallback callback) {
  State* state = state_.get();
  state->Change<StoredObject>(
      key, [state, key, value] { return state->table.Create(key, value); },
      std::move(callback));
}

void InMemoryObjectStore::Update(std::string key,
                                 std::string value,
                                 std::uint64_t expected_version,
                                 ObjectCallback callback) {
  State* state = state_.get();
  state->Change<StoredObject>(
      key,
      [state, key, value, expected_version] {
        return state->table.Update(key, value, expected_version);
      },
      std::move(callback));
}

void InMemoryObjectStore::Delete(std::string key,
                                 std::uint64_t expected_version,
                                 VoidCallback callback) {
  State* state = state_.get();
  state->Change<void>(
      key,
      [state, key, expected_version] {
        return state->table.Delete(key, expected_version);
      },
      std::move(callback));
}

void InMemoryObjectStore::List(std::string prefix, ListCallback callback) {
  State* state = state_.get();
  state->Read<std::vector<StoredObject>>(
      [state, prefix]() -> Result<std::vector<StoredObject>> {
        return state->table.List(prefix);
      },
      std::move(callback));
}

void InMemoryObjectStore::Watch(std::string key,
                                std::uint64_t after_version,
                                std::chrono::milliseconds time_limit,
                                ObjectCallback callback) {
  std::uint64_t id = 0;
  bool outage = false;
  {
    std::lock_guard<std::mutex> lock(state_->mutex);
    ++state_->call_count;
    outage = state_->faults.outage;
    id = state_->next_waiter++;
    state_->waiters.push_back({.id = id,
                               .key = key,
                               .after_version = after_version,
                               .callback = std::move(callback)});
  }
  if (outage) {
    state_->EndWaiters(id, State::MakeOutage());
    return;
  }
  const Error timeout = MakeError(ErrorCode::kTimeout, "watch object",
                                  "no change within the time limit");
  if (!state_->runner.PostAfter(time_limit, [state = state_, id, timeout] {
        state->EndWaiters(id, timeout);
      })) {
    state_->EndWaiters(id, MakeError(ErrorCode::kResourceExhausted,
                                     "watch object", "the queue is full"));
    return;
  }
  state_->NotifyWaiters(key);
}

void InMemoryObjectStore::SetFaults(StoreFaults faults) {
  {
    std::lock_guard<std::mutex> lock(state_->mutex);
    state_->faults = faults;
  }
  if (faults.outage) {
    state_->EndWaiters(0, State::MakeOutage());
  }
}

std::uint64_t InMemoryObjectStore::CallCount() const {
  std::lock_guard<std::mutex> lock(state_->mutex);
  return state_->call_count;
}

ObjectTable InMemoryObjectStore::Snapshot() const {
  std::lock_guard<std::mutex> lock(state_->mutex);
  return state_->table;
}

void InMemoryObjectStore::Restore(ObjectTable table) {
  std::lock_guard<std::mutex> lock(state_->mutex);
  state_->table = std::move(table);
}

}  // namespace flamingogauge
