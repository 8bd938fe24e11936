#ifndef FLAMINGOGAUGE_PLUGINS_DIRECTORY_TABLE_FOLLOWER_H_
#define FLAMINGOGAUGE_PLUGINS_DIRECTORY_TABLE_FOLLOWER_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "libs/kernel/time.h"
#include "libs/services/fleet_store.h"

namespace flamingogauge {

struct TableFollowerOptions {
  // The shortest time between the starts of two calls.
  std::chrono::milliseconds min_call_interval{200};
  // The time between two attempts while the store does not answer.
  std::chrono::milliseconds retry_interval{400};
  // After an outage at least this long, entries that are missing stay for
  // `return_time`, because their writers may still be returning.
  std::chrono::milliseconds outage_from{1000};
  std::chrono::milliseconds return_time{2000};
};

// The next call that a follower wants to make.
struct FollowCall {
  bool is_watch = false;
  // For a list.
  std::string after;
  // For a watch.
  std::uint64_t revision = 0;
};

// Follows one table of the store without input or output: says which call to
// make next and keeps the entries that the answers tell of. At most one call is
// in flight.
template <typename T>
class TableFollower {
 public:
  using Entries = std::map<std::string, std::shared_ptr<const T>>;

  explicit TableFollower(TableFollowerOptions options) : options_(options) {}

  // Returns the call to make now, if any; it counts as in flight.
  std::optional<FollowCall> NextCall(MonotonicTime now) {
    if (in_flight_ || now < not_before_) {
      return std::nullopt;
    }
    in_flight_ = true;
    call_started_at_ = now;
    if (revision_ != 0) {
      return FollowCall{.is_watch = true, .revision = revision_};
    }
    return FollowCall{.after = list_after_};
  }

  // When NextCall or RemoveMissing has something to do, unless an answer comes
  // first.
  MonotonicTime WakeAt() const {
    MonotonicTime at = in_flight_ ? MonotonicTime::max() : not_before_;
    return missing_.empty() ? at : std::min(at, missing_until_);
  }

  // Takes the answer to the call in flight. Returns true when entries changed.
  bool OnAnswer(const Result<FleetPage<T>>& answer, MonotonicTime now) {
    in_flight_ = false;
    not_before_ = std::max(now, call_started_at_ + options_.min_call_interval);
    if (!answer) {
      OnFailure(answer.error(), now);
      return false;
    }
    OnSuccess(now);
    const bool changed = revision_ == 0 ? TakeList(answer.value(), now)
                                        : TakeEvents(answer.value(), now);
    if (revision_ != 0) {
      confirmed_at_ = list_started_at_.value_or(call_started_at_);
      list_started_at_.reset();
    }
    return changed;
  }

  // Removes entries whose time to return is over. Returns true when there were
  // any.
  bool RemoveMissing(MonotonicTime now) {
    if (missing_.empty() || now < missing_until_) {
      return false;
    }
    for (const std::string& it : missing_) {
      entries_.erase(it);
    }
    missing_.clear();
    return true;
  }

  // Makes the next call a list, for a table that is not watched.
  void ReadListAgain() {
    if (revision_ != 0) {
      RestartList();
    }
  }

  const Entries& entries() const { return entries_; }
  // When the newest call whose answer is contained in entries() was sent.
  MonotonicTime confirmed_at() const { return confirmed_at_; }
  // True while the store does not answer.
  bool is_failing() const { return failing_since_.has_value(); }

 private:
  void OnFailure(const Error& error, MonotonicTime now) {
    if (error.code == ErrorCode::kNotFound) {
      // The history is gone: start again with a list.
      RestartList();
      return;
    }
    if (!failing_since_) {
      failing_since_ = now;
    }
    not_before_ = std::max(not_before_, now + options_.retry_interval);
    if (revision_ == 0) {
      RestartList();
    }
  }

  void OnSuccess(MonotonicTime now) {
    if (failing_since_ && now - *failing_since_ >= options_.outage_from) {
      missing_until_ = now + options_.return_time;
    }
    failing_since_.reset();
  }

  void RestartList() {
    revision_ = 0;
    list_after_.clear();
    listed_names_.clear();
    list_started_at_.reset();
  }

  bool TakeList(const FleetPage<T>& page, MonotonicTime now) {
    bool changed = false;
    if (!list_started_at_) {
      list_started_at_ = call_started_at_;
      list_revision_ = page.store_revision;
    }
    for (const FleetEntry<T>& it : page.entries) {
      listed_names_.insert(it.name);
      changed |= Put(it, now);
    }
    if (page.has_more && !page.entries.empty()) {
      list_after_ = page.entries.back().name;
      not_before_ = now;
      return changed;
    }
    for (auto it = entries_.begin(); it != entries_.end();) {
      const std::string name = (it++)->first;
      if (!listed_names_.contains(name)) {
        changed |= Drop(name, now);
      }
    }
    listed_names_.clear();
    list_after_.clear();
    revision_ = list_revision_;
    changed |= !was_listed_;
    was_listed_ = true;
    return changed;
  }

  bool TakeEvents(const FleetPage<T>& page, MonotonicTime now) {
    bool changed = false;
    for (const FleetEntry<T>& it : page.entries) {
      changed |= Put(it, now);
    }
    revision_ = std::max(revision_, page.store_revision);
    return changed;
  }

  bool Put(const FleetEntry<T>& entry, MonotonicTime now) {
    if (!entry.value) {
      return Drop(entry.name, now);
    }
    missing_.erase(entry.name);
    std::shared_ptr<const T>& known = entries_[entry.name];
    known = entry.value;
    return true;
  }

  bool Drop(const std::string& name, MonotonicTime now) {
    if (!entries_.contains(name)) {
      return false;
    }
    if (now < missing_until_) {
      missing_.insert(name);
      return false;
    }
    entries_.erase(name);
    return true;
  }

  const TableFollowerOptions options_;
  Entries entries_;
  bool in_flight_ = false;
  bool was_listed_ = false;
  // 0 while a list has to be read.
  std::uint64_t revision_ = 0;
  std::uint64_t list_revision_ = 0;
  std::string list_after_;
  std::set<std::string> listed_names_;
  std::optional<MonotonicTime> list_started_at_;
  MonotonicTime call_started_at_;
  MonotonicTime not_before_;
  MonotonicTime confirmed_at_;
  std::optional<MonotonicTime> failing_since_;
  std::set<std::string> missing_;
  MonotonicTime missing_until_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_DIRECTORY_TABLE_FOLLOWER_H_
