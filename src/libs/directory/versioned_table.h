#ifndef FLAMINGOGAUGE_LIBS_DIRECTORY_VERSIONED_TABLE_H_
#define FLAMINGOGAUGE_LIBS_DIRECTORY_VERSIONED_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

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
  // The revision of the platform's store that the page reflects; 0 if the
  // sender has not read the table yet.
  std::uint64_t store_revision = 0;
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

  explicit VersionedTable(std::uint64_t process) : process_(process) {}

  // Replaces all entries. Returns true if any was added, removed or changed.
  // Entries of an older revision than the table's are ignored: they may include
  // an upstream that has left since.
  bool Replace(const Entries& entries, std::uint64_t store_revision) {
    if (store_revision < store_revision_) {
      return false;
    }
    bool changed = store_revision_ == 0 && store_revision != 0;
    store_revision_ = store_revision;
    for (auto it = entries_.begin(); it != entries_.end();) {
      const std::string name = (it++)->first;
      if (!entries.contains(name)) {
        changed |= Put(name, nullptr);
      }
    }
    for (const auto& [name, value] : entries) {
      changed |= Put(name, value);
    }
    return changed;
  }

  // Applies a page of another host, of this or a newer revision. Returns true
  // if it changed anything.
  bool Apply(const TablePage<T>& page) {
    if (page.is_complete) {
      return Replace(page.entries, page.store_revision);
    }
    store_revision_ = page.store_revision;
    bool changed = false;
    for (const auto& [name, value] : page.entries) {
      changed |= Put(name, value);
    }
    for (const std::string& it : page.removed) {
      changed |= Put(it, nullptr);
    }
    return changed;
  }

  // True if a host whose table has the revision `store_revision` and that knows
  // the changes up to `cursor` lacks something.
  bool HasNewsSince(const TableCursor& cursor,
                    std::uint64_t store_revision) const {
    return store_revision_ != 0 && store_revision_ >= store_revision &&
           cursor != Cursor();
  }

  // Returns what changed after `cursor`, or all entries if the log no longer
  // reaches back so far. The page is empty, with a revision of 0, if it would
  // be of no use to a host whose table has the revision `store_revision`.
  TablePage<T> Since(const TableCursor& cursor,
                     std::uint64_t store_revision) const {
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

  TableCursor Cursor() const {
    return {.process = process_, .sequence = sequence_};
  }
  const Entries& entries() const { return entries_; }
  // The newest revision of the store that the entries reflect; 0 before the
  // first read.
  std::uint64_t store_revision() const { return store_revision_; }

 private:
  // A host that is further behind gets a complete page.
  static constexpr std::size_t kMaxLoggedChanges = 1024;

  // Sets or, with a null value, removes an entry; returns false if that changes
  // nothing.
  bool Put(const std::string& name, const std::shared_ptr<const T>& value) {
    const auto known = entries_.find(name);
    if (value == nullptr) {
      if (known == entries_.end()) {
        return false;
      }
      entries_.erase(known);
    } else if (known == entries_.end()) {
      entries_.emplace(name, value);
    } else if (*known->second == *value) {
      return false;
    } else {
      known->second = value;
    }
    ++sequence_;
    log_.push_back(name);
    if (log_.size() > kMaxLoggedChanges) {
      log_.pop_front();
    }
    return true;
  }

  const std::uint64_t process_;
  Entries entries_;
  std::uint64_t store_revision_ = 0;
  // The number of changes so far; `log_` holds the names of the last ones.
  std::uint64_t sequence_ = 0;
  std::deque<std::string> log_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DIRECTORY_VERSIONED_TABLE_H_
