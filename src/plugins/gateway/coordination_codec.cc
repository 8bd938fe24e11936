#include "plugins/gateway/coordination_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>
#include <limits>

#include "plugins/gateway/rollout_codec.h"
#include "protocol/coordination.capnp.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// Limits the work that a forged datagram can cause in the reader.
constexpr std::uint64_t kTraversalLimitWords = 65536;

std::int32_t ToMs(milliseconds time) {
  constexpr std::int64_t kMax = std::numeric_limits<std::int32_t>::max();
  return static_cast<std::int32_t>(
      std::clamp<std::int64_t>(time.count(), -kMax, kMax));
}

template <typename Builder>
void WriteLoad(const UpstreamLoad& load, Builder to) {
  unsigned n = 0;
  for (const auto& [upstream, requests] : load) {
    to[n].setUpstream(upstream);
    to[n++].setRequests(static_cast<std::uint16_t>(requests));
  }
}

template <typename List>
UpstreamLoad ReadLoad(const List& from) {
  UpstreamLoad load;
  for (const auto& it : from) {
    load[it.getUpstream()] = it.getRequests();
  }
  return load;
}

template <typename Builder>
void WriteUsage(const UsageByWorkspace& usage, Builder to) {
  unsigned n = 0;
  for (const auto& [workspace, units] : usage) {
    to[n].setWorkspace(workspace);
    to[n].setSpent(units.spent);
    to[n++].setCredits(static_cast<float>(units.credits));
  }
}

template <typename List>
UsageByWorkspace ReadUsage(const List& from) {
  UsageByWorkspace usage;
  for (const auto& it : from) {
    usage[it.getWorkspace().cStr()] = {
        .spent = it.getSpent(),
        .credits = static_cast<double>(it.getCredits())};
  }
  return usage;
}

template <typename Builder>
void WriteNumbers(const std::vector<std::uint64_t>& numbers, Builder to) {
  unsigned n = 0;
  for (const std::uint64_t it : numbers) {
    to.set(n++, it);
  }
}

template <typename List>
std::vector<std::uint64_t> ReadNumbers(const List& from) {
  std::vector<std::uint64_t> numbers;
  for (const std::uint64_t it : from) {
    numbers.push_back(it);
  }
  return numbers;
}

template <typename T>
unsigned SizeOf(const T& container) {
  return static_cast<unsigned>(container.size());
}

std::uint32_t ToAgeMs(milliseconds age) {
  return static_cast<std::uint32_t>(ToMs(std::max(age, milliseconds::zero())));
}

void WriteKey(const SuspectKey& key, wire::SuspectKey::Builder to) {
  to.setKind(static_cast<std::uint8_t>(key.kind));
  to.setId(key.id);
}

// A kind that this build does not know is read as a request that nobody sends.
SuspectKey ReadKey(wire::SuspectKey::Reader from) {
  constexpr auto kPromptPart =
      static_cast<std::uint8_t>(SuspectKey::Kind::kPromptPart);
  if (from.getKind() > kPromptPart) {
    return {};
  }
  return {.kind = static_cast<SuspectKey::Kind>(from.getKind()),
          .id = from.getId()};
}

// `to` builds a message that has the lists of CrashEvidence.
template <typename Builder>
void WriteEvidence(const CrashEvidence& evidence, Builder to) {
  unsigned n = 0;
  auto crashes = to.initCrashes(SizeOf(evidence.crashes));
  for (const CrashRecord& it : evidence.crashes) {
    crashes[n].setUpstream(it.upstream);
    crashes[n].setRequest(it.keys.request);
    WriteNumbers(it.keys.prompt_parts,
                 crashes[n].initPromptParts(SizeOf(it.keys.prompt_parts)));
    crashes[n++].setAgeMs(ToAgeMs(it.age));
  }
  n = 0;
  auto sound = to.initSound(SizeOf(evidence.sound));
  for (const SoundKey& it : evidence.sound) {
    WriteKey(it.key, sound[n].initKey());
    sound[n++].setAgeMs(ToAgeMs(it.age));
  }
  n = 0;
  auto quarantined = to.initQuarantined(SizeOf(evidence.quarantined));
  for (const QuarantinedKey& it : evidence.quarantined) {
    WriteKey(it.key, quarantined[n].initKey());
    quarantined[n].setAgeMs(ToAgeMs(it.age));
    quarantined[n++].setStrikes(
        static_cast<std::uint8_t>(std::clamp(it.strikes, 1, 255)));
  }
}

template <typename Reader>
CrashEvidence ReadEvidence(const Reader& from) {
  CrashEvidence evidence;
  for (const auto& it : from.getCrashes()) {
    evidence.crashes.push_back(
        {.upstream = it.getUpstream(),
         .keys = {.request = it.getRequest(),
                  .prompt_parts = ReadNumbers(it.getPromptParts())},
         .age = milliseconds(it.getAgeMs())});
  }
  for (const auto& it : from.getSound()) {
    evidence.sound.push_back(
        {.key = ReadKey(it.getKey()), .age = milliseconds(it.getAgeMs())});
  }
  for (const auto& it : from.getQuarantined()) {
    evidence.quarantined.push_back(
        {.key = ReadKey(it.getKey()),
         .age = milliseconds(it.getAgeMs()),
         .strikes = std::max<int>(1, it.getStrikes())});
  }
  return evidence;
}

// Stands for an upstream that no longer states a limit.
constexpr double kNoLimit = -1;

template <typename Builder>
void WriteRateLimits(const std::vector<RateLimitReport>& limits, Builder to) {
  unsigned n = 0;
  for (const RateLimitReport& it : limits) {
    to[n].setUpstream(it.upstream);
    to[n].setRequestsPerSecond(it.requests_per_second.value_or(kNoLimit));
    to[n++].setAgeMs(ToAgeMs(it.age));
  }
}

template <typename List>
std::vector<RateLimitReport> ReadRateLimits(const List& from) {
  std::vector<RateLimitReport> limits;
  for (const auto& it : from) {
    RateLimitReport limit{.upstream = it.getUpstream(),
                          .age = milliseconds(it.getAgeMs())};
    if (it.getRequestsPerSecond() >= 0) {
      limit.requests_per_second = it.getRequestsPerSecond();
    }
    limits.push_back(limit);
  }
  return limits;
}

void WriteRequest(const PlacementRequest& request,
                  wire::PlacementRequest::Builder to) {
  to.setTicket(request.ticket);
  to.setService(request.service);
  to.setPriority(request.priority);
  to.setWaitedMs(ToMs(request.waited));
  to.setDueInMs(ToMs(request.due_in));
  to.setStartInMs(ToMs(request.start_in));
  to.setDeadlineInMs(ToMs(request.deadline_in));
  to.setPromptTokens(static_cast<float>(request.prompt_tokens));
  to.setExpectedOutputTokens(
      static_cast<float>(request.expected_output_tokens));
  unsigned n = 0;
  auto parts = to.initPromptParts(SizeOf(request.prompt_parts));
  for (const PromptPart& it : request.prompt_parts) {
    parts[n].setId(it.id);
    parts[n++].setTokens(static_cast<float>(it.tokens));
  }
  to.setWasSent(request.was_sent);
  WriteNumbers(request.excluded_upstreams,
               to.initExcludedUpstreams(SizeOf(request.excluded_upstreams)));
  to.setWorkspace(request.workspace);
  to.setReturned(request.returned);
}

PlacementRequest ReadRequest(wire::PlacementRequest::Reader from) {
  PlacementRequest request{
      .ticket = from.getTicket(),
      .service = from.getService().cStr(),
      .priority = from.getPriority(),
      .waited = milliseconds(from.getWaitedMs()),
      .due_in = milliseconds(from.getDueInMs()),
      .start_in = milliseconds(from.getStartInMs()),
      .deadline_in = milliseconds(from.getDeadlineInMs()),
      .prompt_tokens = from.getPromptTokens(),
      .expected_output_tokens = from.getExpectedOutputTokens(),
      .was_sent = from.getWasSent(),
      .excluded_upstreams = ReadNumbers(from.getExcludedUpstreams()),
      .workspace = from.getWorkspace(),
      .returned = from.getReturned()};
  for (const auto& it : from.getPromptParts()) {
    request.prompt_parts.push_back(
        {.id = it.getId(), .tokens = it.getTokens()});
  }
  return request;
}

// A value that this build does not know is read as one that changes nothing.
DispatchResult ReadResult(std::uint8_t value) {
  return value <= static_cast<std::uint8_t>(DispatchResult::kLeaving)
             ? static_cast<DispatchResult>(value)
             : DispatchResult::kAbandoned;
}

void Write(const HostMessage& message, wire::HostMessage::Builder to) {
  to.setHost(message.host);
  to.setDataCentre(message.data_centre);
  to.setAddress(message.address);
  to.setProcess(message.process);
  to.setSequence(message.sequence);
  to.setDraining(message.draining);
  WriteLoad(message.running, to.initRunning(SizeOf(message.running)));
  to.setCoordinatorProcess(message.coordinator_process);
  to.setLastGrant(message.last_grant);
  WriteNumbers(message.waiting, to.initWaiting(SizeOf(message.waiting)));
  unsigned n = 0;
  auto requests = to.initRequests(SizeOf(message.requests));
  for (const PlacementRequest& it : message.requests) {
    WriteRequest(it, requests[n++]);
  }
  n = 0;
  auto results = to.initResults(SizeOf(message.results));
  for (const UpstreamResult& it : message.results) {
    results[n].setNumber(it.number);
    results[n].setUpstream(it.upstream);
    results[n].setResult(static_cast<std::uint8_t>(it.result));
    results[n].setEventIntervalSeconds(
        static_cast<float>(it.event_interval.count()));
    results[n].setFirstEventSeconds(static_cast<float>(it.first_event.count()));
    results[n++].setPromptTokens(static_cast<float>(it.prompt_tokens));
  }
  WriteUsage(message.usage, to.initUsage(SizeOf(message.usage)));
  WriteEvidence(message.evidence, to);
  if (message.rollouts != RolloutReport{}) {
    WriteRollouts(message.rollouts, to.initRollouts());
  }
  WriteRateLimits(message.rate_limits,
                  to.initRateLimits(SizeOf(message.rate_limits)));
}

HostMessage Read(wire::HostMessage::Reader from) {
  HostMessage message{.host = from.getHost().cStr(),
                      .data_centre = from.getDataCentre().cStr(),
                      .address = from.getAddress().cStr(),
                      .process = from.getProcess(),
                      .sequence = from.getSequence(),
                      .draining = from.getDraining(),
                      .running = ReadLoad(from.getRunning()),
                      .coordinator_process = from.getCoordinatorProcess(),
                      .last_grant = from.getLastGrant(),
                      .waiting = ReadNumbers(from.getWaiting()),
                      .usage = ReadUsage(from.getUsage()),
                      .evidence = ReadEvidence(from),
                      .rollouts = ReadRollouts(from.getRollouts()),
                      .rate_limits = ReadRateLimits(from.getRateLimits())};
  for (const auto& it : from.getRequests()) {
    message.requests.push_back(ReadRequest(it));
  }
  for (const auto& it : from.getResults()) {
    message.results.push_back({.number = it.getNumber(),
                               .upstream = it.getUpstream(),
                               .result = ReadResult(it.getResult()),
                               .event_interval = std::chrono::duration<double>(
                                   it.getEventIntervalSeconds()),
                               .first_event = std::chrono::duration<double>(
                                   it.getFirstEventSeconds()),
                               .prompt_tokens = it.getPromptTokens()});
  }
  return message;
}

void Write(const CoordinatorMessage& message,
           wire::CoordinatorMessage::Builder to) {
  to.setCoordinator(message.coordinator);
  to.setProcess(message.process);
  to.setHostProcess(message.host_process);
  unsigned n = 0;
  auto grants = to.initGrants(SizeOf(message.grants));
  for (const PlacementGrant& it : message.grants) {
    grants[n].setTicket(it.ticket);
    grants[n].setUpstream(it.upstream);
    grants[n++].setNumber(it.number);
  }
  n = 0;
  auto refusals = to.initRefusals(SizeOf(message.refusals));
  for (const PlacementRefusal& it : message.refusals) {
    refusals[n].setTicket(it.ticket);
    refusals[n].setRetryAfterMs(
        static_cast<std::uint32_t>(ToMs(it.retry_after)));
    refusals[n++].setReason(it.reason);
  }
  WriteNumbers(message.queued, to.initQueued(SizeOf(message.queued)));
  WriteNumbers(message.unknown, to.initUnknown(SizeOf(message.unknown)));
}

CoordinatorMessage Read(wire::CoordinatorMessage::Reader from) {
  CoordinatorMessage message{.coordinator = from.getCoordinator().cStr(),
                             .process = from.getProcess(),
                             .host_process = from.getHostProcess(),
                             .queued = ReadNumbers(from.getQueued()),
                             .unknown = ReadNumbers(from.getUnknown())};
  for (const auto& it : from.getGrants()) {
    message.grants.push_back({.ticket = it.getTicket(),
                              .upstream = it.getUpstream(),
                              .number = it.getNumber()});
  }
  for (const auto& it : from.getRefusals()) {
    message.refusals.push_back(
        {.ticket = it.getTicket(),
         .retry_after = milliseconds(it.getRetryAfterMs()),
         .reason = it.getReason().cStr()});
  }
  return message;
}

void Write(const FleetSummary& summary, wire::FleetSummary::Builder to) {
  to.setCoordinator(summary.coordinator);
  to.setDataCentre(summary.data_centre);
  to.setProcess(summary.process);
  to.setHostProcess(summary.host_process);
  to.setSequence(summary.sequence);
  to.setDraining(summary.draining);
  WriteLoad(summary.running, to.initRunning(SizeOf(summary.running)));
  WriteUsage(summary.usage, to.initUsage(SizeOf(summary.usage)));
  to.setReachableHosts(static_cast<std::uint32_t>(summary.reachable_hosts));
  unsigned n = 0;
  auto draining = to.initDrainingHosts(SizeOf(summary.draining_hosts));
  for (const std::string& it : summary.draining_hosts) {
    draining.set(n++, it);
  }
  WriteEvidence(summary.evidence, to);
  if (summary.rollouts != RolloutReport{}) {
    WriteRollouts(summary.rollouts, to.initRollouts());
  }
  n = 0;
  auto paces = to.initPaces(SizeOf(summary.paces));
  for (const UpstreamPaceReport& it : summary.paces) {
    paces[n].setUpstream(it.upstream);
    paces[n].setRequests(static_cast<float>(it.requests));
    paces[n++].setAgeMs(ToAgeMs(it.age));
  }
  WriteRateLimits(summary.rate_limits,
                  to.initRateLimits(SizeOf(summary.rate_limits)));
}

FleetSummary Read(wire::FleetSummary::Reader from) {
  FleetSummary summary{
      .coordinator = from.getCoordinator().cStr(),
      .data_centre = from.getDataCentre().cStr(),
      .process = from.getProcess(),
      .host_process = from.getHostProcess(),
      .sequence = from.getSequence(),
      .draining = from.getDraining(),
      .running = ReadLoad(from.getRunning()),
      .usage = ReadUsage(from.getUsage()),
      .reachable_hosts = static_cast<int>(from.getReachableHosts()),
      .evidence = ReadEvidence(from),
      .rollouts = ReadRollouts(from.getRollouts()),
      .rate_limits = ReadRateLimits(from.getRateLimits())};
  for (const auto& it : from.getDrainingHosts()) {
    summary.draining_hosts.emplace_back(it.cStr());
  }
  for (const auto& it : from.getPaces()) {
    summary.paces.push_back({.upstream = it.getUpstream(),
                             .requests = it.getRequests(),
                             .age = milliseconds(it.getAgeMs())});
  }
  return summary;
}

CoordinationMessage ReadDatagram(wire::CoordinationDatagram::Reader from) {
  switch (from.which()) {
    case wire::CoordinationDatagram::HOST:
      return Read(from.getHost());
    case wire::CoordinationDatagram::REPLY:
      return Read(from.getReply());
    case wire::CoordinationDatagram::SUMMARY:
      return Read(from.getSummary());
    case wire::CoordinationDatagram::REPORT:
      return DataCentreReport{.summary = Read(from.getReport())};
  }
  KJ_FAIL_REQUIRE("unknown kind of datagram");
}

// Writes each kind of message into its member of the union.
struct DatagramWriter {
  wire::CoordinationDatagram::Builder to;

  void operator()(const HostMessage& message) { Write(message, to.initHost()); }
  void operator()(const CoordinatorMessage& message) {
    Write(message, to.initReply());
  }
  void operator()(const FleetSummary& summary) {
    Write(summary, to.initSummary());
  }
  void operator()(const DataCentreReport& report) {
    Write(report.summary, to.initReport());
  }
};

}  // namespace

std::string EncodeCoordinationMessage(const CoordinationMessage& message) {
  capnp::MallocMessageBuilder builder;
  std::visit(
      DatagramWriter{.to = builder.initRoot<wire::CoordinationDatagram>()},
      message);
  kj::VectorOutputStream output;
  capnp::writePackedMessage(output, builder);
  const auto chars = output.getArray().asChars();
  return {chars.begin(), chars.size()};
}

Result<CoordinationMessage> DecodeCoordinationMessage(
    const std::string& bytes) {
  try {
    kj::ArrayInputStream input(
        kj::StringPtr(bytes.c_str(), bytes.size()).asBytes());
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kTraversalLimitWords;
    capnp::PackedMessageReader reader(input, options);
    return ReadDatagram(reader.getRoot<wire::CoordinationDatagram>());
  } catch (const kj::Exception& exception) {
    return Error{.code = ErrorCode::kInvalidArgument,
                 .step = "decode datagram",
                 .message = exception.getDescription().cStr()};
  }
}

}  // namespace flamingogauge
