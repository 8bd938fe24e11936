#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include "libs/routing/routing_table.h"

namespace flamingogauge {
namespace {

RoutingTable SampleTable() {
  RoutingTable table;
  table.AddRoute({.name = "root", .host = "A.example", .path_prefix = "/"});
  table.AddRoute({.name = "one", .host = "a.example", .path_prefix = "/x/"});
  table.AddRoute({.name = "two", .host = "a.example", .path_prefix = "/x/y/"});
  table.AddRoute({.name = "other", .host = "b.example", .path_prefix = "/x/"});
  table.workspaces.push_back({.name = "w"});
  table.AddKey("secret", 0);
  return table;
}

// Guards against a request being sent to the service of a different route.
TEST_CASE("the longest prefix of the host's routes is chosen") {
  struct Row {
    const char* host;
    const char* path;
    const char* route;
  };
  const RoutingTable table = SampleTable();
  for (const Row& row :
       {Row{"a.example", "/x/y/z", "two"},
        Row{"a.example:8080", "/x/y/", "two"}, Row{"A.EXAMPLE", "/x/y", "one"},
        Row{"a.example", "/xy", "root"}, Row{"b.example", "/x/", "other"},
        Row{"b.example", "/", ""}, Row{"b.example", "", ""},
        Row{"c.example", "/x/", ""}}) {
    CAPTURE(row.host);
    CAPTURE(row.path);
    const Route* route = table.FindRoute(row.host, row.path);
    CHECK((route == nullptr ? "" : route->name) == row.route);
  }
}

// Guards against accepting an API key that belongs to no workspace.
TEST_CASE("only known keys resolve to a workspace") {
  const RoutingTable table = SampleTable();
  REQUIRE(table.FindKey("secret") != nullptr);
  CHECK(table.FindKey("secret")->name == "w");
  CHECK(table.FindKey("Secret") == nullptr);
  CHECK(table.FindKey("") == nullptr);
}

// Guards against workspaces without a priority sorting previous all that have
// one. A mixed list must be ordered by the workspace's priority or, if it has
// none, by the route's.
TEST_CASE("a workspace's priority takes precedence over the route's") {
  struct Row {
    int route;
    std::optional<int> workspace;
  };
  // From the most urgent to the least.
  const std::vector<Row> rows = {{0, std::nullopt}, {1, 0}, {0, 1},
                                 {1, std::nullopt}, {2, 1}, {0, 2}};
  int previous = -1;
  for (const Row& row : rows) {
    CAPTURE(row.route);
    const WorkspaceEntry workspace{.priority = row.workspace};
    const int priority = PriorityOf(Route{.priority = row.route}, &workspace);
    CHECK(priority > previous);
    previous = priority;
  }
  CHECK(PriorityOf(Route{.priority = 2}, nullptr) >
        PriorityOf(Route{.priority = 1}, nullptr));
}

// Guards against executing a stream twice although it is not resumable.
TEST_CASE("re-execution depends on the route's execution semantics") {
  struct Row {
    ExecutionSemantics rule;
    bool resumable;
    bool again;
  };
  for (const Row& row : {Row{ExecutionSemantics::kIdempotent, false, true},
                         Row{ExecutionSemantics::kAtMostOnce, false, false},
                         Row{ExecutionSemantics::kAtMostOnce, true, false},
                         Row{ExecutionSemantics::kStream, false, false},
                         Row{ExecutionSemantics::kStream, true, true}}) {
    CHECK(Route{.execution_semantics = row.rule, .resumable = row.resumable}
              .AllowsReexecution() == row.again);
  }
}

}  // namespace
}  // namespace flamingogauge
