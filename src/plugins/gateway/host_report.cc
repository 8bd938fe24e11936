#include "plugins/gateway/host_report.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include "protocol/host_report.capnp.h"

namespace flamingogauge {
namespace {

// Limits the work that a forged datagram can cause in the reader.
constexpr std::uint64_t kTraversalLimitWords = 65536;

HostReport ReadSingleReport(wire::HostReport::Reader from) {
  HostReport report{.host = from.getHost().cStr(),
                    .draining = from.getDraining(),
                    .process = from.getProcess(),
                    .sequence = from.getSequence(),
                    .report_address = from.getReportAddress().cStr(),
                    .data_centre = from.getDataCentre().cStr()};
  for (const auto& it : from.getRunning()) {
    report.running[it.getUpstream()] = it.getRequests();
  }
  for (const auto& it : from.getUsage()) {
    report.usage[it.getWorkspace().cStr()] = {
        .spent = it.getSpent(),
        .credits = static_cast<double>(it.getCredits())};
  }
  for (const auto& it : from.getBrokenBy()) {
    report.crashes.push_back(
        {.request = it.getRequest(), .upstream = it.getUpstream()});
  }
  return report;
}

HostReport Read(wire::HostReport::Reader from) {
  HostReport report = ReadSingleReport(from);
  for (const auto& it : from.getForwarded()) {
    report.forwarded.push_back(ReadSingleReport(it));
  }
  return report;
}

void WriteSingleReport(const HostReport& report, wire::HostReport::Builder to) {
  to.setHost(report.host);
  to.setDraining(report.draining);
  to.setProcess(report.process);
  to.setSequence(report.sequence);
  if (!report.report_address.empty()) {
    to.setReportAddress(report.report_address);
    to.setDataCentre(report.data_centre);
  }
  unsigned n = 0;
  auto running = to.initRunning(static_cast<unsigned>(report.running.size()));
  for (const auto& [upstream, requests] : report.running) {
    running[n].setUpstream(upstream);
    running[n++].setRequests(static_cast<std::uint16_t>(requests));
  }
  n = 0;
  auto usage = to.initUsage(static_cast<unsigned>(report.usage.size()));
  for (const auto& [workspace, units] : report.usage) {
    usage[n].setWorkspace(workspace);
    usage[n].setSpent(units.spent);
    usage[n++].setCredits(static_cast<float>(units.credits));
  }
  n = 0;
  auto crashes = to.initBrokenBy(static_cast<unsigned>(report.crashes.size()));
  for (const CrashRecord& it : report.crashes) {
    crashes[n].setRequest(it.request);
    crashes[n++].setUpstream(it.upstream);
  }
}

}  // namespace

std::string EncodeHostReport(const HostReport& report) {
  capnp::MallocMessageBuilder message;
  auto to = message.initRoot<wire::HostReport>();
  WriteSingleReport(report, to);
  unsigned n = 0;
  auto forwarded =
      to.initForwarded(static_cast<unsigned>(report.forwarded.size()));
  for (const HostReport& it : report.forwarded) {
    WriteSingleReport(it, forwarded[n++]);
  }
  kj::VectorOutputStream output;
  capnp::writePackedMessage(output, message);
  const auto chars = output.getArray().asChars();
  return {chars.begin(), chars.size()};
}

Result<HostReport> DecodeHostReport(const std::string& bytes) {
  try {
    kj::ArrayInputStream input(
        kj::StringPtr(bytes.c_str(), bytes.size()).asBytes());
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kTraversalLimitWords;
    capnp::PackedMessageReader reader(input, options);
    return Read(reader.getRoot<wire::HostReport>());
  } catch (const kj::Exception& exception) {
    return Error{.code = ErrorCode::kInvalidArgument,
                 .step = "decode host report",
                 .message = exception.getDescription().cStr()};
  }
}

}  // namespace flamingogauge
