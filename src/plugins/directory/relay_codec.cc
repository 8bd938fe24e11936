#include "plugins/directory/relay_codec.h"

#include <utility>

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

void WriteCursor(const TableCursor& cursor, wire::TableCursor::Builder to) {
  to.setProcess(cursor.process);
  to.setSequence(cursor.sequence);
}

TableCursor ReadCursor(wire::TableCursor::Reader from) {
  return {.process = from.getProcess(), .sequence = from.getSequence()};
}

void WriteEntry(const UpstreamEntry& entry, wire::ListedUpstream::Builder to) {
  to.setId(entry.id);
  to.setService(entry.service);
  to.setAddress(entry.address);
  to.setDataCentre(entry.data_centre);
  to.setVersion(entry.version);
  to.setSlots(static_cast<std::uint32_t>(entry.slots));
  to.setDraining(entry.draining);
  to.setColdRemainingMs(entry.cold_remaining.count());
  to.setStartedAtMs(entry.started_at_ms);
}

UpstreamEntry ReadEntry(wire::ListedUpstream::Reader from) {
  return {.id = from.getId().cStr(),
          .service = from.getService().cStr(),
          .address = from.getAddress().cStr(),
          .data_centre = from.getDataCentre().cStr(),
          .version = from.getVersion().cStr(),
          .slots = static_cast<int>(from.getSlots()),
          .draining = from.getDraining(),
          .cold_remaining = milliseconds(from.getColdRemainingMs()),
          .started_at_ms = from.getStartedAtMs()};
}

void WriteEntry(const HostEntry& entry, wire::ListedHost::Builder to) {
  to.setName(entry.name);
  to.setReportAddress(entry.report_address);
  to.setDataCentre(entry.data_centre);
  to.setRelayAddress(entry.relay_address);
  to.setCapacity(entry.capacity);
}

HostEntry ReadEntry(wire::ListedHost::Reader from) {
  return {.name = from.getName().cStr(),
          .report_address = from.getReportAddress().cStr(),
          .data_centre = from.getDataCentre().cStr(),
          .relay_address = from.getRelayAddress().cStr(),
          .capacity = from.getCapacity()};
}

const std::string& NameOf(const UpstreamEntry& entry) {
  return entry.id;
}

const std::string& NameOf(const HostEntry& entry) {
  return entry.name;
}

template <typename T, typename Builder>
void WritePage(const TablePage<T>& page, Builder to) {
  auto state = to.initState();
  WriteCursor(page.cursor, state.initCursor());
  state.setStoreRevision(page.store_revision.number);
  state.setStoreEra(page.store_revision.era);
  state.setIsComplete(page.is_complete);
  unsigned n = 0;
  auto removed = state.initRemoved(static_cast<unsigned>(page.removed.size()));
  for (const std::string& it : page.removed) {
    removed.set(n++, it);
  }
  n = 0;
  auto entries = to.initEntries(static_cast<unsigned>(page.entries.size()));
  for (const auto& [name, entry] : page.entries) {
    WriteEntry(*entry, entries[n++]);
  }
}

template <typename T, typename Reader>
TablePage<T> ReadPage(Reader from) {
  const auto state = from.getState();
  TablePage<T> page{.cursor = ReadCursor(state.getCursor()),
                    .store_revision = {.era = state.getStoreEra(),
                                       .number = state.getStoreRevision()},
                    .is_complete = state.getIsComplete()};
  for (const auto& it : state.getRemoved()) {
    page.removed.push_back(it.cStr());
  }
  for (const auto& it : from.getEntries()) {
    auto entry = std::make_shared<const T>(ReadEntry(it));
    std::string name = NameOf(*entry);
    page.entries.insert_or_assign(std::move(name), std::move(entry));
  }
  return page;
}

void WriteRoute(const Route& route, wire::Route::Builder to) {
  to.setName(route.name);
  to.setHost(route.host);
  to.setPathPrefix(route.path_prefix);
  to.setExecutionSemantics(
      static_cast<std::uint8_t>(route.execution_semantics));
  to.setTimeoutMs(route.timeout.count());
  to.setTargetLatencyMs(route.target_latency.count());
  to.setMaxEventGapMs(route.max_event_gap.count());
  to.setPriority(route.priority);
  unsigned n = 0;
  auto services = to.initServices(static_cast<unsigned>(route.services.size()));
  for (const WeightedService& it : route.services) {
    services[n].setService(it.service);
    services[n++].setWeight(it.weight);
  }
  to.setMaxDispatches(route.max_dispatches);
  to.setAnonymous(route.anonymous);
  to.setResumable(route.resumable);
}

// A value that this build does not know is read as the most careful one.
ExecutionSemantics ReadExecutionSemantics(std::uint8_t value) {
  return value <= static_cast<std::uint8_t>(ExecutionSemantics::kStream)
             ? static_cast<ExecutionSemantics>(value)
             : ExecutionSemantics::kAtMostOnce;
}

Route ReadRoute(wire::Route::Reader from) {
  Route route{.name = from.getName().cStr(),
              .host = from.getHost().cStr(),
              .path_prefix = from.getPathPrefix().cStr(),
              .execution_semantics =
                  ReadExecutionSemantics(from.getExecutionSemantics()),
              .timeout = milliseconds(from.getTimeoutMs()),
              .target_latency = milliseconds(from.getTargetLatencyMs()),
              .max_event_gap = milliseconds(from.getMaxEventGapMs()),
              .priority = from.getPriority(),
              .max_dispatches = from.getMaxDispatches(),
              .anonymous = from.getAnonymous(),
              .resumable = from.getResumable()};
  for (const auto& it : from.getServices()) {
    route.services.push_back(
        {.service = it.getService().cStr(), .weight = it.getWeight()});
  }
  return route;
}

void WriteWorkspace(const WorkspaceEntry& workspace,
                    const std::vector<std::string>& keys,
                    wire::Workspace::Builder to) {
  to.setName(workspace.name);
  to.setHasPriority(workspace.priority.has_value());
  to.setPriority(workspace.priority.value_or(0));
  to.setCountsTokens(workspace.counts_tokens);
  to.setPlainTokens(workspace.plain_tokens);
  to.setRatePerSecond(workspace.rate_per_second);
  to.setBurst(workspace.burst);
  unsigned n = 0;
  auto list = to.initKeys(static_cast<unsigned>(keys.size()));
  for (const std::string& it : keys) {
    list.set(n++, it);
  }
}

WorkspaceEntry ReadWorkspace(wire::Workspace::Reader from) {
  WorkspaceEntry workspace{.name = from.getName().cStr(),
                           .counts_tokens = from.getCountsTokens(),
                           .plain_tokens = from.getPlainTokens(),
                           .rate_per_second = from.getRatePerSecond(),
                           .burst = from.getBurst()};
  if (from.getHasPriority()) {
    workspace.priority = from.getPriority();
  }
  return workspace;
}

void WriteWorkspaces(const RoutingTable& table,
                     wire::RoutingDocument::Builder to) {
  std::vector<std::vector<std::string>> keys(table.workspaces.size());
  for (const auto& [key, workspace] : table.workspace_by_key()) {
    keys[workspace].push_back(key);
  }
  auto workspaces =
      to.initWorkspaces(static_cast<unsigned>(table.workspaces.size()));
  for (unsigned n = 0; n < workspaces.size(); ++n) {
    WriteWorkspace(table.workspaces[n], keys[n], workspaces[n]);
  }
}

void WriteRouting(const RoutingTable& table,
                  wire::RoutingDocument::Builder to) {
  to.setVersion(table.version);
  const std::vector<const Route*> all = table.AllRoutes();
  auto routes = to.initRoutes(static_cast<unsigned>(all.size()));
  for (unsigned n = 0; n < routes.size(); ++n) {
    WriteRoute(*all[n], routes[n]);
  }
  unsigned n = 0;
  auto services = to.initServices(static_cast<unsigned>(table.services.size()));
  for (const auto& [name, service] : table.services) {
    services[n].setName(name);
    services[n].setMaxConnections(service.max_connections);
    services[n].setEngineSlots(service.engine_slots);
    services[n++].setEngineMemoryTokens(service.engine_memory_tokens);
  }
  WriteWorkspaces(table, to);
  to.setMaxHeaderBytes(table.limits.max_header_bytes);
  to.setMaxBodyBytes(table.limits.max_body_bytes);
  to.setHeaderTimeoutMs(table.limits.header_timeout.count());
  to.setIdleTimeoutMs(table.limits.idle_timeout.count());
}

std::shared_ptr<const RoutingTable> ReadRouting(
    wire::RoutingDocument::Reader from) {
  auto table = std::make_shared<RoutingTable>();
  table->version = from.getVersion();
  for (const auto& it : from.getRoutes()) {
    table->AddRoute(ReadRoute(it));
  }
  for (const auto& it : from.getServices()) {
    ServiceEntry service{.name = it.getName().cStr(),
                         .max_connections = it.getMaxConnections(),
                         .engine_slots = it.getEngineSlots(),
                         .engine_memory_tokens = it.getEngineMemoryTokens()};
    std::string name = service.name;
    table->services.insert_or_assign(std::move(name), std::move(service));
  }
  for (const auto& it : from.getWorkspaces()) {
    table->workspaces.push_back(ReadWorkspace(it));
    for (const auto& key : it.getKeys()) {
      table->AddKey(key.cStr(), table->workspaces.size() - 1);
    }
  }
  table->limits = {.max_header_bytes = from.getMaxHeaderBytes(),
                   .max_body_bytes = from.getMaxBodyBytes(),
                   .header_timeout = milliseconds(from.getHeaderTimeoutMs()),
                   .idle_timeout = milliseconds(from.getIdleTimeoutMs())};
  return table;
}

}  // namespace

void WriteRelayQuestion(const RelayQuestion& question,
                        wire::RelayQuestion::Builder to) {
  to.setRoutingVersion(question.routing_version);
  WriteCursor(question.upstreams, to.initUpstreams());
  WriteCursor(question.hosts, to.initHosts());
  to.setUpstreamsRevision(question.upstreams_revision.number);
  to.setUpstreamsEra(question.upstreams_revision.era);
  to.setHostsRevision(question.hosts_revision.number);
  to.setHostsEra(question.hosts_revision.era);
  to.setIsStale(question.is_stale);
  to.setIsProbe(question.is_probe);
  to.setWaitMs(static_cast<std::uint32_t>(question.wait.count()));
}

RelayQuestion ReadRelayQuestion(wire::RelayQuestion::Reader from) {
  return {.routing_version = from.getRoutingVersion(),
          .upstreams = ReadCursor(from.getUpstreams()),
          .hosts = ReadCursor(from.getHosts()),
          .upstreams_revision = {.era = from.getUpstreamsEra(),
                                 .number = from.getUpstreamsRevision()},
          .hosts_revision = {.era = from.getHostsEra(),
                             .number = from.getHostsRevision()},
          .is_stale = from.getIsStale(),
          .is_probe = from.getIsProbe(),
          .wait = milliseconds(from.getWaitMs())};
}

void WriteRelayReply(const RelayReply& reply, wire::RelayReply::Builder to) {
  to.setIsCallerUnknown(reply.is_caller_unknown);
  to.setHeldForMs(static_cast<std::uint32_t>(reply.held_for.count()));
  to.setFollowsStore(reply.follows_store);
  to.setRoutingAgeMs(reply.routing_age ? reply.routing_age->count() : -1);
  to.setRoutingVersion(reply.routing_version);
  to.setRoutingRevision(reply.routing_revision.number);
  to.setRoutingEra(reply.routing_revision.era);
  if (reply.routing) {
    WriteRouting(*reply.routing, to.initRouting());
  }
  WritePage(reply.upstreams, to.initUpstreams());
  WritePage(reply.hosts, to.initHosts());
}

RelayReply ReadRelayReply(wire::RelayReply::Reader from) {
  RelayReply reply{.is_caller_unknown = from.getIsCallerUnknown(),
                   .held_for = milliseconds(from.getHeldForMs()),
                   .follows_store = from.getFollowsStore(),
                   .routing_version = from.getRoutingVersion(),
                   .routing_revision = {.era = from.getRoutingEra(),
                                        .number = from.getRoutingRevision()}};
  if (from.getRoutingAgeMs() >= 0) {
    reply.routing_age = milliseconds(from.getRoutingAgeMs());
  }
  if (from.hasRouting()) {
    reply.routing = ReadRouting(from.getRouting());
  }
  reply.upstreams = ReadPage<UpstreamEntry>(from.getUpstreams());
  reply.hosts = ReadPage<HostEntry>(from.getHosts());
  return reply;
}

}  // namespace flamingogauge
