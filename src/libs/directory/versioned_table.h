#ifndef FLAMINGOGAUGE_LIBS_DIRECTORY_VERSIONED_TABLE_H_
#define FLAMINGOGAUGE_LIBS_DIRECTORY_VERSIONED_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libs/fleet/store_revision.h"

namespace flamingogauge {

// A position in the changes of one process's table.
struct TableCursor {
  // Identifies the process that counts the changes; 0 before the first page.
  std::uint64_t process = 0;
  std::uint64_t sequence = 0;

  bool operator==(const TableCursor&) const = default;
};

// All entries of a table, or its changes since a cursor.
template <typename T>
struct TablePage {
  // The position after this page.
  TableCursor cursor;
  // The revision of the platform's store that the page reflects; unknown if the
  // sender has not read the table yet.
  StoreRevision store_revision;
  // True if the page holds all entries.
  bool is_complete = false;
  std::map<std::string, std::shared_ptr<const T>> entries;
  // Names removed since the cursor; empty in a complete page.
  std::vector<std::string> removed;
};

// The entries of one table as this host believes them, with a bounded log of
// their changes, so that other hosts can be told only what they lack.
template <typename T>
class VersionedTable {
 public:
  using Entries = std::map<std::string, std::shared_ptr<const T>>;

  // Called with an entry before and after a change; null if there is none.
  using ChangeListener =
      std::function<void(const std::string& name, const T*, const T*)>;

  explicit VersionedTable(std::uint64_t process, ChangeListener listener = {})
      : process_(process), listener_(std::move(listener)) {}

  // Replaces all entries, by those of `overrides` where it has them. Returns
  // true if any was added, removed or changed. Entries of an older revision
  // than the table's are ignored: they may include an upstream that has left
  // since.
  bool Replace(const Entries& entries,
               const StoreRevision& store_revision,
               const Entries& overrides = {}) {
    if (store_revision < store_revision_) {
      return false;
    }
    bool changed = !store_revision_.is_known() && store_revision.is_known();
    store_revision_ = store_revision;
    for (auto it = entries_.begin(); it != entries_.end();) {
      const std::string name = (it++)->first;
      if (!entries.contains(name)) {
        changed |= Put(name, nullptr);
      }
    }
    return PutAll(entries, overrides) || changed;
  }

  // Applies a page of another host, of this or a newer revision, with
  // `overrides` as above. Returns true if it changed anything.
  bool Apply(const TablePage<T>& page, const Entries& overrides = {}) {
    if (page.is_complete) {
      return Replace(page.entries, page.store_revision, overrides);
    }
    store_revision_ = page.store_revision;
    bool changed = PutAll(page.entries, overrides);
    for (const std::string& it : page.removed) {
      changed |= Put(it, nullptr);
    }
    return changed;
  }

  // True if a host whose table has the revision `store_revision` and that knows
  // the changes up to `cursor` lacks something, if only a new era.
  bool HasNewsSince(const TableCursor& cursor,
                    const StoreRevision& store_revision) const {
    return store_revision_.is_known() && !(store_revision_ < store_revision) &&
           (cursor != Cursor() || store_revision_.era > store_revision.era);
  }

  // Returns what changed after `cursor`, or all entries if the log no longer
  // reaches back so far. The page is empty, without a revision, if it would be
  // of no use to a host whose table has the revision `store_revision`.
  TablePage<T> Since(const TableCursor& cursor,
                     const StoreRevision& store_revision) const {
    if (store_revision_ < store_revision) {
      return {};
    }
    TablePage<T> page{.cursor = Cursor(), .store_revision = store_revision_};
    if (cursor.process != process_ || cursor.sequence > sequence_ ||
        sequence_ - cursor.sequence > log_.size()) {
      page.is_complete = true;
      page.entries = entries_;
      return page;
    }
    const std::size_t known =
        log_.size() - static_cast<std::size_t>(sequence_ - cursor.sequence);
    const std::set<std::string> names(
        log_.begin() + static_cast<std::ptrdiff_t>(known), log_.end());
    for (const std::string& it : names) {
      const auto entry = entries_.find(it);
      if (entry == entries_.end()) {
        page.removed.push_back(it);
      } else {
        page.entries.insert(*entry);
      }
    }
    return page;
  }

  // Replaces one entry, in the state of the store that the table has. Returns
  // false if that changes nothing.
  bool Set(const std::string& name, const std::shared_ptr<const T>& value) {
    return Put(name, value);
  }

  TableCursor Cursor() const {
    return {.process = process_, .sequence = sequence_};
  }
  const Entries& entries() const { return entries_; }
  // The newest revision of the store that the entries reflect; unknown before
  // the first read.
  const StoreRevision& store_revision() const { return store_revision_; }

 private:
  // A host that is further behind gets a complete page.
  static constexpr std::size_t kMaxLoggedChanges = 1024;

  bool PutAll(const Entries& entries, const Entries& overrides) {
    bool changed = false;
    for (const auto& [name, value] : entries) {
      const auto it = overrides.find(name);
      changed |= Put(name, it == overrides.end() ? value : it->second);
    }
    return changed;
  }

  // Sets or, with a null value, removes an entry; returns false if that changes
  // nothing.
  bool Put(const std::string& name, const std::shared_ptr<const T>& value) {
    const auto known = entries_.find(name);
    const std::shared_ptr<const T> before =
        known == entries_.end() ? nullptr : known->second;
    const bool is_same = value == nullptr || before == nullptr
                             ? value == before
                             : *value == *before;
    if (is_same) {
      return false;
    }
    if (value == nullptr) {
      entries_.erase(known);
    } else {
      entries_[name] = value;
    }
    if (listener_) {
      listener_(name, before.get(), value.get());
    }
    ++sequence_;
    log_.push_back(name);
    if (log_.size() > kMaxLoggedChanges) {
      log_.pop_front();
    }
    return true;
  }

  const std::uint64_t process_;
  const ChangeListener listener_;
  Entries entries_;
  StoreRevision store_revision_;
  // The number of changes so far; `log_` holds the names of the last ones.
  std::uint64_t sequence_ = 0;
  std::deque<std::string> log_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DIRECTORY_VERSIONED_TABLE_H_
