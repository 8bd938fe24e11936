#ifndef FLAMINGOGAUGE_LIBS_DIRECTORY_TABLE_FOLLOWER_H_
#define FLAMINGOGAUGE_LIBS_DIRECTORY_TABLE_FOLLOWER_H_

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
  // The minimum time between the starts of two calls.
  std::chrono::milliseconds min_call_interval{200};
  // The interval between attempts while calls fail.
  std::chrono::milliseconds retry_interval{400};
  // After an outage of at least `min_outage`, missing entries are kept for
  // `missing_entry_grace`, because their writers may not have re-registered
  // yet.
  std::chrono::milliseconds min_outage{1000};
  std::chrono::milliseconds missing_entry_grace{2000};
};

// A store call to be made for a TableFollower.
struct TableCall {
  bool is_watch = false;
  // For a list: the name after which the page starts.
  std::string after;
  // For a watch: the revision after which changes are reported.
  std::uint64_t revision = 0;
};

// Tracks the entries of one table of the store. Performs no I/O itself: the
// owner makes the calls that NextCall returns and passes on their results. At
// most one call is in flight.
template <typename T>
class TableFollower {
 public:
  using Entries = std::map<std::string, std::shared_ptr<const T>>;

  explicit TableFollower(TableFollowerOptions options) : options_(options) {}

  // Continues from entries that another host read at `revision`, so that no
  // list is needed.
  void Resume(const Entries& entries, const StoreRevision& revision) {
    entries_ = entries;
    missing_.clear();
    outage_since_.reset();
    RestartList();
    revision_ = revision;
    newest_revision_ = revision;
    was_listed_ = revision.is_known();
  }

  // The store has come back from an older copy. Lists the table again; entries
  // that the copy lacks are kept for the grace period.
  void OnEra(std::uint64_t era, MonotonicTime now) {
    if (era <= newest_revision_.era) {
      return;
    }
    newest_revision_ = {.era = era};
    if (was_listed_) {
      missing_grace_until_ = now + options_.missing_entry_grace;
    }
    RestartList();
  }

  void SetRetryInterval(std::chrono::milliseconds interval) {
    options_.retry_interval = interval;
  }

  // Returns the call to make now, if any, and marks it as in flight. A watch is
  // to wait for `wait`.
  std::optional<TableCall> NextCall(MonotonicTime now,
                                    std::chrono::milliseconds wait) {
    if (in_flight_ || now < next_call_at_) {
      return std::nullopt;
    }
    in_flight_ = true;
    call_started_at_ = now;
    call_wait_ = wait;
    call_era_ = newest_revision_.era;
    starts_list_ = !revision_.is_known() && list_after_.empty();
    if (revision_.is_known()) {
      return TableCall{.is_watch = true, .revision = revision_.number};
    }
    return TableCall{.after = list_after_};
  }

  // The time at which NextCall or RemoveMissing next has work to do, unless a
  // result arrives earlier.
  MonotonicTime WakeAt() const {
    MonotonicTime at = in_flight_ ? MonotonicTime::max() : next_call_at_;
    return missing_.empty() ? at : std::min(at, missing_grace_until_);
  }

  // Processes the result of the call in flight. Returns true if entries changed
  // or the first list is complete.
  bool OnAnswer(const Result<FleetPage<T>>& answer, MonotonicTime now) {
    in_flight_ = false;
    next_call_at_ =
        std::max(now, call_started_at_ + options_.min_call_interval);
    if (!answer) {
      OnFailure(answer.error(), now);
      return false;
    }
    if (!IsOfThisEra(answer.value().store_revision, now)) {
      return false;
    }
    OnSuccess(now);
    // The store answers a watch without events only after the wait, so that the
    // entries were still the newest then.
    const bool was_empty_watch = revision_.is_known() &&
                                 answer.value().entries.empty() &&
                                 now - call_started_at_ >= call_wait_;
    const bool changed = revision_.is_known() ? ApplyEvents(answer.value(), now)
                                              : ApplyList(answer.value(), now);
    newest_revision_ = std::max(newest_revision_, revision_);
    if (revision_.is_known()) {
      confirmed_at_ = list_started_at_.value_or(
          was_empty_watch ? call_started_at_ + call_wait_ : call_started_at_);
      list_started_at_.reset();
    }
    return changed;
  }

  // Removes missing entries when the grace period has passed. Returns true if
  // there were any.
  bool RemoveMissing(MonotonicTime now) {
    if (missing_.empty() || now < missing_grace_until_) {
      return false;
    }
    for (const std::string& it : missing_) {
      entries_.erase(it);
    }
    missing_.clear();
    return true;
  }

  // Makes the next call a list; for tables that are not watched.
  void RequestList() {
    if (revision_.is_known()) {
      RestartList();
    }
  }

  const Entries& entries() const { return entries_; }
  // The revision that entries() reflects; unknown before the first list is
  // complete.
  const StoreRevision& revision() const { return revision_; }
  // The newest revision ever reflected; not reset by a new list.
  const StoreRevision& newest_revision() const { return newest_revision_; }
  bool in_flight() const { return in_flight_; }
  // A time at which entries() were the newest: the end of the wait of a watch
  // without events, else the start of the call. For a list of several pages,
  // the start of its first page.
  MonotonicTime confirmed_at() const { return confirmed_at_; }
  // True while calls to the store fail.
  bool is_failing() const { return failing_since_.has_value(); }
  // The time of the first failure after the last success.
  std::optional<MonotonicTime> failing_since() const { return failing_since_; }

 private:
  void OnFailure(const Error& error, MonotonicTime now) {
    if (error.code == ErrorCode::kNotFound) {
      // The store no longer has the history since the revision; list again.
      RestartList();
      return;
    }
    failing_since_ = failing_since_.value_or(now);
    outage_since_ = outage_since_.value_or(now);
    next_call_at_ = std::max(next_call_at_, now + options_.retry_interval);
    if (!revision_.is_known()) {
      RestartList();
    }
  }

  // Returns false for a response that does not continue what is known: one of
  // an earlier era that arrives late, and one of the current era to a call that
  // goes by revisions of an earlier one.
  bool IsOfThisEra(const StoreRevision& revision, MonotonicTime now) {
    OnEra(revision.era, now);
    const bool is_late =
        revision.era != 0 && revision.era < newest_revision_.era;
    const bool is_continuation = !starts_list_;
    return !is_late && !(is_continuation && call_era_ != newest_revision_.era);
  }

  void OnSuccess(MonotonicTime now) {
    if (outage_since_ && now - *outage_since_ >= options_.min_outage) {
      missing_grace_until_ = now + options_.missing_entry_grace;
    }
    failing_since_.reset();
    outage_since_.reset();
  }

  void RestartList() {
    revision_ = {};
    list_after_.clear();
    listed_names_.clear();
    list_started_at_.reset();
  }

  bool ApplyList(const FleetPage<T>& page, MonotonicTime now) {
    bool changed = false;
    if (!list_started_at_) {
      list_started_at_ = call_started_at_;
      list_revision_ = PositionOf(page);
    }
    for (const FleetEntry<T>& it : page.entries) {
      listed_names_.insert(it.name);
      changed |= Put(it, now);
    }
    if (page.has_more && !page.entries.empty()) {
      list_after_ = page.entries.back().name;
      next_call_at_ = now;
      return changed;
    }
    for (auto it = entries_.begin(); it != entries_.end();) {
      const std::string name = (it++)->first;
      if (!listed_names_.contains(name)) {
        changed |= RemoveOrDefer(name, now);
      }
    }
    listed_names_.clear();
    list_after_.clear();
    revision_ = list_revision_;
    changed |= !was_listed_;
    was_listed_ = true;
    return changed;
  }

  bool ApplyEvents(const FleetPage<T>& page, MonotonicTime now) {
    bool changed = false;
    for (const FleetEntry<T>& it : page.entries) {
      changed |= Put(it, now);
    }
    revision_ = std::max(revision_, PositionOf(page));
    return changed;
  }

  // A store that does not state its era has one only.
  StoreRevision PositionOf(const FleetPage<T>& page) const {
    return {.era = std::max(page.store_revision.era, newest_revision_.era),
            .number = page.store_revision.number};
  }

  bool Put(const FleetEntry<T>& entry, MonotonicTime now) {
    if (!entry.value) {
      return RemoveOrDefer(entry.name, now);
    }
    missing_.erase(entry.name);
    std::shared_ptr<const T>& known = entries_[entry.name];
    known = entry.value;
    return true;
  }

  bool RemoveOrDefer(const std::string& name, MonotonicTime now) {
    if (!entries_.contains(name)) {
      return false;
    }
    if (now < missing_grace_until_) {
      missing_.insert(name);
      return false;
    }
    entries_.erase(name);
    return true;
  }

  TableFollowerOptions options_;
  Entries entries_;
  bool in_flight_ = false;
  bool was_listed_ = false;
  // The revision to watch from; unknown while a list has to be read.
  StoreRevision revision_;
  // Its era is the newest that is known.
  StoreRevision newest_revision_;
  StoreRevision list_revision_;
  std::string list_after_;
  std::set<std::string> listed_names_;
  std::optional<MonotonicTime> list_started_at_;
  MonotonicTime call_started_at_;
  std::chrono::milliseconds call_wait_{0};
  // The newest era when the call in flight was made.
  std::uint64_t call_era_ = 0;
  // True if the call in flight asks for the first page of a list.
  bool starts_list_ = false;
  MonotonicTime next_call_at_;
  MonotonicTime confirmed_at_;
  std::optional<MonotonicTime> failing_since_;
  // Since when nothing is known of changes, neither from the store nor from
  // another host.
  std::optional<MonotonicTime> outage_since_;
  std::set<std::string> missing_;
  MonotonicTime missing_grace_until_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DIRECTORY_TABLE_FOLLOWER_H_
