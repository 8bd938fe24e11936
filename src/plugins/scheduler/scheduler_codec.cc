#include "plugins/scheduler/scheduler_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <protocol/scheduler.capnp.h>

#include <cstring>
#include <utility>

namespace flamingogauge {
namespace {

using Builder = wire::SchedulerMessage::Builder;
using Reader = wire::SchedulerMessage::Reader;

unsigned Size(std::size_t size) {
  return static_cast<unsigned>(size);
}

void Write(wire::Bits128::Builder to, std::uint64_t high, std::uint64_t low) {
  to.setHigh(high);
  to.setLow(low);
}

void Write(wire::SequencedId::Builder to, const RequestId& id) {
  Write(to.initIncarnation(), id.incarnation.high, id.incarnation.low);
  to.setSequence(id.sequence);
}

void Write(wire::SequencedId::Builder to, const PermitId& id) {
  Write(to.initIncarnation(), id.scheduler.high, id.scheduler.low);
  to.setSequence(id.sequence);
}

RequestId ReadRequestId(wire::SequencedId::Reader from) {
  return {.incarnation = {.high = from.getIncarnation().getHigh(),
                          .low = from.getIncarnation().getLow()},
          .sequence = from.getSequence()};
}

PermitId ReadPermitId(wire::SequencedId::Reader from) {
  return {.scheduler = {.high = from.getIncarnation().getHigh(),
                        .low = from.getIncarnation().getLow()},
          .sequence = from.getSequence()};
}

Fingerprint ReadFingerprint(wire::Bits128::Reader from) {
  return {.high = from.getHigh(), .low = from.getLow()};
}

std::string ReadText(capnp::Text::Reader from) {
  return {from.begin(), from.size()};
}

// Values beyond the last known enumerator come from a newer version and are
// mapped to `last`.
template <typename Enum>
Enum ReadEnum(std::uint8_t value, Enum last) {
  return value <= static_cast<std::uint8_t>(last) ? static_cast<Enum>(value)
                                                  : last;
}

void WriteRequest(wire::SchedulerRequest::Builder to, const PermitRequest& it) {
  Write(to.initId(), it.id);
  to.setTarget(it.target.c_str());
  to.setIsService(it.is_service);
  to.setWorkspace(it.workspace.c_str());
  to.setTier(it.tier);
  Write(to.initFingerprint(), it.fingerprint.high, it.fingerprint.low);
  to.setPromptTokens(it.prompt_tokens);
  to.setMaxOutputTokens(it.max_output_tokens);
  auto hashes = to.initPrefixHashes(Size(it.prefix_hashes.size()));
  for (unsigned n = 0; n < hashes.size(); ++n) {
    hashes.set(n, it.prefix_hashes[n]);
  }
  to.setTimeLeftMs(it.time_left.count());
  auto excluded = to.initExcluded(Size(it.excluded.size()));
  for (unsigned n = 0; n < excluded.size(); ++n) {
    excluded.set(n, it.excluded[n].c_str());
  }
}

PermitRequest ReadRequest(wire::SchedulerRequest::Reader from) {
  PermitRequest it;
  it.id = ReadRequestId(from.getId());
  it.target = ReadText(from.getTarget());
  it.is_service = from.getIsService();
  it.workspace = ReadText(from.getWorkspace());
  it.tier = from.getTier();
  it.fingerprint = ReadFingerprint(from.getFingerprint());
  it.prompt_tokens = from.getPromptTokens();
  it.max_output_tokens = from.getMaxOutputTokens();
  for (const std::uint64_t hash : from.getPrefixHashes()) {
    it.prefix_hashes.push_back(hash);
  }
  it.time_left = std::chrono::milliseconds(from.getTimeLeftMs());
  for (const auto& id : from.getExcluded()) {
    it.excluded.push_back(ReadText(id));
  }
  return it;
}

std::int64_t ToNanoseconds(Duration time) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(time).count();
}

MonotonicTime ReadTime(std::int64_t nanoseconds) {
  return MonotonicTime(std::chrono::duration_cast<Duration>(
      std::chrono::nanoseconds(nanoseconds)));
}

struct LimitWriter {
  wire::SchedulerLimit::Builder to;

  void operator()(const BorrowRequest& it) {
    to.setAmount(it.amount);
    to.setTimeNs(ToNanoseconds(it.sent_at.time_since_epoch()));
    to.setBorrow();
  }
  void operator()(const Loan& it) {
    to.setAmount(it.amount);
    to.setTimeNs(ToNanoseconds(it.request.sent_at.time_since_epoch()));
    to.setLoanNs(ToNanoseconds(it.valid_for));
  }
  void operator()(const LendingQuery& it) {
    to.setTimeNs(ToNanoseconds(it.asked_at.time_since_epoch()));
    Write(to.initAsk(), it.owner.high, it.owner.low);
  }
  void operator()(const LendingConsent& it) {
    to.setAmount(it.amount);
    to.setTimeNs(ToNanoseconds(it.query.asked_at.time_since_epoch()));
    Write(to.initConsent(), it.query.owner.high, it.query.owner.low);
  }
};

LimitMessage ReadLimit(wire::SchedulerLimit::Reader from) {
  LimitMessage message{.workspace = ReadText(from.getWorkspace()),
                       .kind = ReadEnum(from.getKind(), LimitKind::kTokens)};
  const MonotonicTime time = ReadTime(from.getTimeNs());
  const auto owner = [](wire::Bits128::Reader id) {
    return Incarnation{.high = id.getHigh(), .low = id.getLow()};
  };
  switch (from.which()) {
    case wire::SchedulerLimit::BORROW:
      message.step = BorrowRequest{.sent_at = time, .amount = from.getAmount()};
      break;
    case wire::SchedulerLimit::LOAN_NS:
      message.step = Loan{.request = {.sent_at = time},
                          .amount = from.getAmount(),
                          .valid_for = std::chrono::duration_cast<Duration>(
                              std::chrono::nanoseconds(from.getLoanNs()))};
      break;
    case wire::SchedulerLimit::ASK:
      message.step =
          LendingQuery{.owner = owner(from.getAsk()), .asked_at = time};
      break;
    case wire::SchedulerLimit::CONSENT:
      message.step = LendingConsent{
          .query = {.owner = owner(from.getConsent()), .asked_at = time},
          .amount = from.getAmount()};
      break;
  }
  return message;
}

struct BodyWriter {
  Builder to;

  void operator()(const PermitRequest& it) {
    WriteRequest(to.initRequest(), it);
  }
  void operator()(const CancelMessage& it) {
    Write(to.initCancel(), it.request);
  }
  void operator()(const PermitOutcome& it) {
    auto outcome = to.initOutcome();
    Write(outcome.initPermit(), it.permit);
    Write(outcome.initRequest(), it.request);
    outcome.setUpstream(it.upstream.c_str());
    outcome.setEnd(static_cast<std::uint8_t>(it.end));
    outcome.setPromptTokens(it.prompt_tokens);
    outcome.setCachedTokens(it.cached_tokens);
    outcome.setOutputTokens(it.output_tokens);
    outcome.setTimeToFirstTokenUs(it.time_to_first_token.count());
    outcome.setTotalTimeUs(it.total_time.count());
  }
  void operator()(const RenewMessage& it) {
    auto permits = to.initRenew(Size(it.permits.size()));
    for (unsigned n = 0; n < permits.size(); ++n) {
      Write(permits[n], it.permits[n]);
    }
  }
  void operator()(const ReportMessage& it) {
    auto report = to.initReport();
    auto waiting = report.initWaiting(Size(it.waiting.size()));
    for (unsigned n = 0; n < waiting.size(); ++n) {
      WriteRequest(waiting[n], it.waiting[n]);
    }
    auto in_use = report.initInUse(Size(it.in_use.size()));
    for (unsigned n = 0; n < in_use.size(); ++n) {
      const AdoptedPermit& permit = it.in_use[n];
      Write(in_use[n].initPermit(), permit.permit);
      Write(in_use[n].initRequest(), permit.request);
      in_use[n].setUpstream(permit.upstream.c_str());
      in_use[n].setWorkspace(permit.workspace.c_str());
      Write(in_use[n].initFingerprint(), permit.fingerprint.high,
            permit.fingerprint.low);
      in_use[n].setPromptTokens(permit.prompt_tokens);
      in_use[n].setMaxOutputTokens(permit.max_output_tokens);
    }
  }
  void operator()(const GrantMessage& it) {
    auto grant = to.initGrant();
    Write(grant.initPermit(), it.permit);
    Write(grant.initRequest(), it.request);
    grant.setUpstream(it.upstream.c_str());
    grant.setAddress(it.address.c_str());
    grant.setEchoNs(it.echo.count());
  }
  void operator()(const RefuseMessage& it) {
    auto refuse = to.initRefuse();
    Write(refuse.initRequest(), it.request);
    refuse.setKind(static_cast<std::uint8_t>(it.refusal.kind));
    refuse.setRunStatus(static_cast<std::uint8_t>(it.refusal.run_status));
    refuse.setMessage(it.refusal.message.c_str());
    refuse.setRetryAfterMs(it.refusal.retry_after.count());
  }
  void operator()(const RedirectMessage& it) {
    auto redirect = to.initRedirect();
    Write(redirect.initRequest(), it.request);
    redirect.setHost(it.host.c_str());
  }
  void operator()(const ShedQueryMessage& it) {
    auto query = to.initShedQuery();
    query.setQuery(it.query);
    query.setTier(it.tier);
  }
  void operator()(const ShedAnswerMessage& it) {
    auto answer = to.initShedAnswer();
    answer.setQuery(it.query);
    answer.setOffers(it.offers);
  }
  void operator()(const LimitMessage& it) {
    auto limit = to.initLimit();
    limit.setWorkspace(it.workspace.c_str());
    limit.setKind(static_cast<std::uint8_t>(it.kind));
    std::visit(LimitWriter{limit}, it.step);
  }
};

PermitOutcome ReadOutcome(wire::SchedulerOutcome::Reader from) {
  return {.permit = ReadPermitId(from.getPermit()),
          .request = ReadRequestId(from.getRequest()),
          .upstream = ReadText(from.getUpstream()),
          .end = ReadEnum(from.getEnd(), PermitEnd::kCrashed),
          .prompt_tokens = from.getPromptTokens(),
          .cached_tokens = from.getCachedTokens(),
          .output_tokens = from.getOutputTokens(),
          .time_to_first_token =
              std::chrono::microseconds(from.getTimeToFirstTokenUs()),
          .total_time = std::chrono::microseconds(from.getTotalTimeUs())};
}

ReportMessage ReadReport(wire::SchedulerMessage::Report::Reader from) {
  ReportMessage report;
  for (const auto& it : from.getWaiting()) {
    report.waiting.push_back(ReadRequest(it));
  }
  for (const auto& it : from.getInUse()) {
    report.in_use.push_back(
        {.permit = ReadPermitId(it.getPermit()),
         .request = ReadRequestId(it.getRequest()),
         .upstream = ReadText(it.getUpstream()),
         .workspace = ReadText(it.getWorkspace()),
         .fingerprint = ReadFingerprint(it.getFingerprint()),
         .prompt_tokens = it.getPromptTokens(),
         .max_output_tokens = it.getMaxOutputTokens()});
  }
  return report;
}

RefuseMessage ReadRefuse(wire::SchedulerMessage::Refuse::Reader from) {
  return {
      .request = ReadRequestId(from.getRequest()),
      .refusal = {
          .kind = ReadEnum(from.getKind(), RefusalKind::kDeadlineExceeded),
          .run_status = ReadEnum(from.getRunStatus(), RunStatus::kExecuted),
          .message = ReadText(from.getMessage()),
          .retry_after = std::chrono::milliseconds(from.getRetryAfterMs())}};
}

SchedulerMessage ReadMessage(Reader from) {
  SchedulerMessage message;
  message.target = ReadText(from.getTarget());
  switch (from.which()) {
    case wire::SchedulerMessage::REQUEST:
      message.body = ReadRequest(from.getRequest());
      break;
    case wire::SchedulerMessage::CANCEL:
      message.body = CancelMessage{ReadRequestId(from.getCancel())};
      break;
    case wire::SchedulerMessage::OUTCOME:
      message.body = ReadOutcome(from.getOutcome());
      break;
    case wire::SchedulerMessage::RENEW: {
      RenewMessage renew;
      for (const auto& it : from.getRenew()) {
        renew.permits.push_back(ReadPermitId(it));
      }
      message.body = std::move(renew);
      break;
    }
    case wire::SchedulerMessage::REPORT:
      message.body = ReadReport(from.getReport());
      break;
    case wire::SchedulerMessage::GRANT:
      message.body = GrantMessage{
          .permit = ReadPermitId(from.getGrant().getPermit()),
          .request = ReadRequestId(from.getGrant().getRequest()),
          .upstream = ReadText(from.getGrant().getUpstream()),
          .address = ReadText(from.getGrant().getAddress()),
          .echo = std::chrono::nanoseconds(from.getGrant().getEchoNs())};
      break;
    case wire::SchedulerMessage::REFUSE:
      message.body = ReadRefuse(from.getRefuse());
      break;
    case wire::SchedulerMessage::REDIRECT:
      message.body =
          RedirectMessage{ReadRequestId(from.getRedirect().getRequest()),
                          ReadText(from.getRedirect().getHost())};
      break;
    case wire::SchedulerMessage::SHED_QUERY:
      message.body = ShedQueryMessage{from.getShedQuery().getQuery(),
                                      from.getShedQuery().getTier()};
      break;
    case wire::SchedulerMessage::SHED_ANSWER:
      message.body = ShedAnswerMessage{from.getShedAnswer().getQuery(),
                                       from.getShedAnswer().getOffers()};
      break;
    case wire::SchedulerMessage::LIMIT:
      message.body = ReadLimit(from.getLimit());
      break;
  }
  return message;
}

}  // namespace

std::string EncodeBatch(const SchedulerBatch& batch) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<wire::SchedulerBatch>();
  root.setClockNs(batch.clock.count());
  auto messages = root.initMessages(Size(batch.messages.size()));
  for (unsigned n = 0; n < messages.size(); ++n) {
    messages[n].setTarget(batch.messages[n].target.c_str());
    std::visit(BodyWriter{messages[n]}, batch.messages[n].body);
  }
  const auto words = capnp::messageToFlatArray(builder);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

Result<SchedulerBatch> DecodeBatch(const std::string& payload) {
  // Cap'n Proto needs word-aligned input and reports malformed messages as
  // exceptions.
  std::vector<capnp::word> words((payload.size() + sizeof(capnp::word) - 1) /
                                 sizeof(capnp::word));
  if (!words.empty()) {
    std::memcpy(words.data(), payload.data(), payload.size());
  }
  try {
    capnp::FlatArrayMessageReader reader(
        kj::arrayPtr(words.data(), words.size()));
    const auto root = reader.getRoot<wire::SchedulerBatch>();
    SchedulerBatch batch;
    batch.clock = std::chrono::nanoseconds(root.getClockNs());
    for (const auto& it : root.getMessages()) {
      batch.messages.push_back(ReadMessage(it));
    }
    return batch;
  } catch (const kj::Exception& exception) {
    return Error{.code = ErrorCode::kInvalidArgument,
                 .step = "decode scheduler batch",
                 .message = exception.getDescription().cStr()};
  }
}

}  // namespace flamingogauge
