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

struct PendingWatch {
  std::uint64_t id = 0;
  std::string key;
  std::uint64_t after_version = 0;
  ObjectStore::ObjectCallback callback;
};

}  // namespace

// Shared with the posted tasks, which may run after the store is destroyed.
struct InMemoryObjectStore::State : std::enable_shared_from_this<State> {
  State(TaskRunner& task_runner, std::uint64_t seed)
      : runner(task_runner), random(seed) {}

  TaskRunner& runner;
  mutable std::mutex mutex;
  ObjectTable table;
  StoreFaults faults;
  Random random;
  std::vector<PendingWatch> pending_watches;
  std::uint64_t next_watch_id = 1;
  std::uint64_t call_count = 0;

  bool ConsumeLostResponse() {
    if (faults.lost_answers > 0) {
      --faults.lost_answers;
      return true;
    }
    return random.NextBool(faults.lost_answer_probability);
  }

  // Invokes `callback` with `result` after `delay`, or immediately with
  // kResourceExhausted if the task cannot be posted.
  template <typename Value>
  void Reply(Duration delay,
             std::function<void(Result<Value>)> callback,
             Result<Value> result) {
    if (!runner.PostAfter(delay, [callback, result] { callback(result); })) {
      callback(MakeError(ErrorCode::kResourceExhausted, "complete call",
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
      Reply<Value>(delay, callback, MakeOutageError());
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
      lost = !faults.outage && ConsumeLostResponse();
    }
    if (current.outage) {
      Reply<Value>(current.delay, callback, MakeOutageError());
      return;
    }
    auto self = shared_from_this();
    const Duration apply_delay =
        lost && current.lost_change_delay > Duration::zero()
            ? current.delay + current.lost_change_delay
            : current.delay / 2;
    if (lost) {
      Reply<Value>(current.delay, callback,
                   MakeError(ErrorCode::kUnknownOutcome, "change object",
                             "the response was lost"));
      Perform<Value>(apply_delay, {}, [self, key, operation] {
        std::unique_lock<std::mutex> lock(self->mutex);
        const Result<Value> result = operation();
        lock.unlock();
        self->NotifyWatches(key);
      });
      return;
    }
    Perform<Value>(apply_delay, callback,
                   [self, key, operation, callback, current, apply_delay] {
                     std::unique_lock<std::mutex> lock(self->mutex);
                     Result<Value> result = operation();
                     lock.unlock();
                     self->Reply<Value>(current.delay - apply_delay, callback,
                                        std::move(result));
                     self->NotifyWatches(key);
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

  static Error MakeOutageError() {
    return MakeError(ErrorCode::kUnavailable, "call store", "injected outage");
  }

  void NotifyWatches(const std::string& key) {
    std::vector<std::pair<ObjectCallback, StoredObject>> ready;
    {
      std::lock_guard<std::mutex> lock(mutex);
      const Result<StoredObject> object = table.Get(key);
      std::erase_if(pending_watches, [&](PendingWatch& it) {
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

  // Completes one watch with `error`, or all if `id` is 0.
  void FailWatches(std::uint64_t id, const Error& error) {
    std::vector<ObjectCallback> callbacks;
    {
      std::lock_guard<std::mutex> lock(mutex);
      std::erase_if(pending_watches, [&](PendingWatch& it) {
        if (id != 0 && it.id != id) {
          return false;
        }
        callbacks.push_back(std::move(it.callback));
        return true;
      });
    }
    for (auto& it : callbacks) {
      Reply<StoredObject>(Duration::zero(), std::move(it), error);
    }
  }
};

InMemoryObjectStore::InMemoryObjectStore(TaskRunner& runner, std::uint64_t seed)
    : state_(std::make_shared<State>(runner, seed)) {}

InMemoryObjectStore::~InMemoryObjectStore() {
  // Pending tasks on the runner share ownership of the state, so the callbacks
  // of pending watches would otherwise live as long as the runner.
  std::vector<PendingWatch> dropped_watches;
  std::lock_guard<std::mutex> lock(state_->mutex);
  dropped_watches.swap(state_->pending_watches);
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
    id = state_->next_watch_id++;
    state_->pending_watches.push_back({.id = id,
                                       .key = key,
                                       .after_version = after_version,
                                       .callback = std::move(callback)});
  }
  if (outage) {
    state_->FailWatches(id, State::MakeOutageError());
    return;
  }
  const Error timeout = MakeError(ErrorCode::kTimeout, "watch object",
                                  "no change within the time limit");
  if (!state_->runner.PostAfter(time_limit, [state = state_, id, timeout] {
        state->FailWatches(id, timeout);
      })) {
    state_->FailWatches(id,
                        MakeError(ErrorCode::kResourceExhausted, "watch object",
                                  "the task queue is full"));
    return;
  }
  state_->NotifyWatches(key);
}

void InMemoryObjectStore::SetFaults(StoreFaults faults) {
  {
    std::lock_guard<std::mutex> lock(state_->mutex);
    state_->faults = faults;
  }
  if (faults.outage) {
    state_->FailWatches(0, State::MakeOutageError());
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
