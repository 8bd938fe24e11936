#include "plugins/crashes/quarantine_spreader.h"

#include <map>
#include <utility>

#include "libs/model/rendezvous.h"

namespace flamingogauge {
namespace {

constexpr std::chrono::milliseconds kCallTimeLimit{1000};
// Hosts of each other data centre that a decision is sent to directly. Two, so
// that one of them may fail.
constexpr std::size_t kForwardersPerDataCentre = 2;

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

QuarantineSpreader::QuarantineSpreader(const QuarantineList::Options& options,
                                       PeerTransport* transport,
                                       MembershipView* membership)
    : transport_(transport),
      membership_(membership),
      list_(membership->Self().incarnation, options),
      random_(membership->Self().incarnation.low) {}

void QuarantineSpreader::Quarantine(const Fingerprint& fingerprint,
                                    std::chrono::milliseconds duration) {
  QuarantineRecord record;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (list_.IsQuarantined(fingerprint, Now())) {
      return;
    }
    record = list_.Quarantine(fingerprint, duration, Now());
  }
  log_.Warning("request " + ToString(fingerprint) +
               " is in quarantine after a second crash");
  Broadcast({record}, true);
}

bool QuarantineSpreader::Release(const Fingerprint& fingerprint) {
  QuarantineRecord record;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (!list_.Release(fingerprint, Now(), &record)) {
      return false;
    }
  }
  log_.Info("request " + ToString(fingerprint) +
            " is released from quarantine");
  Broadcast({record}, true);
  return true;
}

bool QuarantineSpreader::IsQuarantined(const Fingerprint& fingerprint) const {
  std::lock_guard<std::mutex> lock(mutex_);
  return list_.IsQuarantined(fingerprint, Now());
}

std::vector<QuarantineRecord> QuarantineSpreader::Records() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return list_.Records(Now());
}

std::uint64_t QuarantineSpreader::Digest() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return list_.Digest(Now());
}

std::vector<QuarantineRecord> QuarantineSpreader::Merge(
    const std::vector<QuarantineRecord>& records) {
  std::lock_guard<std::mutex> lock(mutex_);
  std::vector<QuarantineRecord> added;
  for (const QuarantineRecord& it : records) {
    if (list_.Merge(it, Now())) {
      added.push_back(it);
    }
  }
  return added;
}

bool QuarantineSpreader::CompareWithRandomHost() {
  const auto members = membership_->Current();
  std::vector<HostId> others;
  for (const Member& it : *members) {
    if (it.state == MemberState::kAlive &&
        it.host != membership_->Self().host) {
      others.push_back(it.host);
    }
  }
  if (others.empty()) {
    return false;
  }
  std::size_t chosen = 0;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    list_.Expire(Now());
    chosen = random_.NextBelow(others.size());
  }
  Send(others[chosen], {.digest = Digest(), .forward = false, .records = {}});
  return true;
}

Result<std::string> QuarantineSpreader::Answer(const HostId& /*from*/,
                                               const std::string& payload) {
  const Result<QuarantineExchange> request = DecodeExchange(payload);
  if (!request) {
    return request.error();
  }
  const std::vector<QuarantineRecord> added = Merge(request.value().records);
  if (!added.empty() && request.value().forward) {
    Broadcast(added, false);
  }
  QuarantineExchange reply{.digest = Digest(), .forward = false, .records = {}};
  if (request.value().records.empty() &&
      request.value().digest != reply.digest) {
    reply.records = Records();
  }
  return EncodeExchange(reply);
}

void QuarantineSpreader::Broadcast(const std::vector<QuarantineRecord>& records,
                                   bool to_all_data_centres) {
  const auto members = membership_->Current();
  const Member& self = membership_->Self();
  std::map<DataCentreId, std::vector<HostId>> hosts;
  for (const Member& it : *members) {
    if (it.state != MemberState::kDead && it.host != self.host) {
      hosts[it.data_centre].push_back(it.host);
    }
  }
  for (auto& [data_centre, candidates] : hosts) {
    const bool is_local = data_centre == self.data_centre;
    if (!is_local && !to_all_data_centres) {
      continue;
    }
    if (!is_local && candidates.size() > kForwardersPerDataCentre) {
      candidates = RendezvousOrder(self.host, std::move(candidates));
      candidates.resize(kForwardersPerDataCentre);
    }
    for (const HostId& it : candidates) {
      Send(it, {.digest = 0, .forward = !is_local, .records = records});
    }
  }
}

void QuarantineSpreader::Send(const HostId& host,
                              const QuarantineExchange& exchange) {
  ++messages_sent_;
  transport_->Call(
      host, kQuarantineChannel, EncodeExchange(exchange), kCallTimeLimit,
      [self = weak_from_this(), host](const Result<std::string>& reply) {
        if (const auto spreader = self.lock()) {
          spreader->OnReply(host, reply);
        }
      });
}

void QuarantineSpreader::OnReply(const HostId& host,
                                 const Result<std::string>& reply) {
  if (!reply) {
    // The next comparison repairs the difference.
    ++messages_failed_;
    return;
  }
  const Result<QuarantineExchange> decoded = DecodeExchange(reply.value());
  if (!decoded || decoded.value().records.empty()) {
    return;
  }
  Merge(decoded.value().records);
  if (Digest() != decoded.value().digest) {
    // This host has records that the other one lacks.
    Send(host, {.digest = 0, .forward = false, .records = Records()});
  }
}

}  // namespace flamingogauge
