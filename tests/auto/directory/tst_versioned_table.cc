#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "libs/directory/versioned_table.h"
#include "libs/fleet/host_entry.h"

namespace flamingogauge {
namespace {

using Table = VersionedTable<HostEntry>;

std::shared_ptr<const HostEntry> Host(const std::string& name,
                                      const std::string& address = "a") {
  return std::make_shared<HostEntry>(
      HostEntry{.name = name, .report_address = address});
}

Table::Entries Hosts(const std::vector<std::string>& names) {
  Table::Entries entries;
  for (const std::string& it : names) {
    entries[it] = Host(it);
  }
  return entries;
}

std::vector<std::string> Names(const Table::Entries& entries) {
  std::vector<std::string> names;
  for (const auto& [name, entry] : entries) {
    names.push_back(name);
  }
  return names;
}

using NameList = std::vector<std::string>;

// Guards against sending a whole table of hundreds of entries for each change.
TEST_CASE("a page holds what changed since the cursor") {
  Table table(7);
  CHECK(table.Replace(Hosts({"a", "b", "c"}), {.number = 10}));
  const TableCursor cursor = table.Cursor();
  CHECK(table.Since(cursor, {.number = 10}).entries.empty());
  Table::Entries entries = Hosts({"a", "c", "d"});
  entries["c"] = Host("c", "moved");
  CHECK(table.Replace(entries, {.number = 11}));
  const TablePage<HostEntry> page = table.Since(cursor, {.number = 10});
  CHECK_FALSE(page.is_complete);
  CHECK(Names(page.entries) == NameList{"c", "d"});
  CHECK(page.removed == NameList{"b"});
  CHECK(page.cursor == table.Cursor());
}

// Guards against a delta that is applied to entries it does not belong to.
TEST_CASE("a page is complete unless its cursor is in the log") {
  Table table(7);
  table.Replace(Hosts({"a", "b"}), {.number = 10});
  struct Case {
    const char* title;
    TableCursor cursor;
  };
  for (const Case& it : std::vector<Case>{
           {"no page received yet", {}},
           {"a cursor of another process", {.process = 8, .sequence = 2}},
           {"a position of the future", {.process = 7, .sequence = 3}}}) {
    CAPTURE(it.title);
    const TablePage<HostEntry> page = table.Since(it.cursor, {.number = 0});
    CHECK(page.is_complete);
    CHECK(Names(page.entries) == NameList{"a", "b"});
  }
  for (std::uint64_t n = 0; n < 2000; ++n) {
    Table::Entries entries = Hosts({"a", "b"});
    entries["a"] = Host("a", std::to_string(n));
    table.Replace(entries, {.number = 11 + n});
  }
  CHECK(table.Since({.process = 7, .sequence = 2}, {.number = 0}).is_complete);
}

// Guards against an upstream that has left and comes back because a host with
// an older view was asked.
TEST_CASE("entries of an older revision are ignored and not offered") {
  Table table(7);
  table.Replace(Hosts({"a"}), {.number = 20});
  CHECK_FALSE(table.Replace(Hosts({"a", "gone"}), {.number = 19}));
  CHECK(Names(table.entries()) == NameList{"a"});
  CHECK_FALSE(table.HasNewsSince({}, {.number = 21}));
  CHECK(table.Since({}, {.number = 21}).store_revision == StoreRevision{});
}

}  // namespace
}  // namespace flamingogauge
