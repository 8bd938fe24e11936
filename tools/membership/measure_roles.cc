// Measures what single roles of a host cost, as library instances in one
// process and virtual time, at four sizes each: the scheduler of a group, the
// document that every host holds, claims for bookings, and the quarantine list.
#include <gflags/gflags.h>
#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "libs/claims/claim_attempt.h"
#include "libs/crashes/quarantine_list.h"
#include "libs/document/chunks.h"
#include "libs/document/document_json.h"
#include "libs/kernel/random.h"
#include "libs/orders/order_lease.h"
#include "libs/scheduling/group_scheduler.h"
#include "plugins/crashes/quarantine_codec.h"
#include "plugins/scheduler/scheduler_codec.h"

DEFINE_uint64(seed, 1, "seed of the run");

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};

double CpuSeconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * 1e-9;
}

double HeapKib() {
  return static_cast<double>(mallinfo2().uordblks) / 1024.0;
}

// One group under 78 requests/s for each 50 upstreams, which is the load of a
// group at the target size.
class GroupLoad {
 public:
  explicit GroupLoad(std::size_t upstreams)
      : random_(FLAGS_seed), upstreams_(upstreams) {
    GroupConfig config{.target = "model-a", .upstreams = {}, .weights = {}};
    for (std::size_t n = 0; n < upstreams; ++n) {
      config.upstreams.push_back({.id = "engine-" + std::to_string(n),
                                  .address = "10.0.0.1:8000",
                                  .generation = "g1",
                                  .token_capacity = 200000,
                                  .max_concurrency = 32,
                                  .retires_at = {}});
    }
    GroupPolicies policies = DefaultPolicies(config);
    scheduler_ = std::make_unique<GroupScheduler>(
        std::move(config), GroupTiming(), std::move(policies),
        Incarnation{.high = 1, .low = 2}, FLAGS_seed);
  }

  void Run(seconds duration) {
    const double rate = 78.0 * static_cast<double>(upstreams_) / 50.0;
    const MonotonicTime end = now_ + duration;
    while (now_ < end) {
      now_ += milliseconds(20);
      submit_due_ += rate * 0.02;
      for (; submit_due_ >= 1; --submit_due_) {
        Submit();
      }
      while (!ends_.empty() && ends_.top().first <= now_) {
        End(ends_.top().second);
        ends_.pop();
      }
      scheduler_->Advance(now_);
      for (const GroupAction& it : scheduler_->TakeActions()) {
        if (const auto* grant = std::get_if<GrantAction>(&it)) {
          OnGrant(*grant);
        }
      }
    }
  }

  std::uint64_t requests = 0;
  std::uint64_t grants = 0;
  std::uint64_t message_bytes = 0;
  double codec_cpu = 0;

 private:
  template <typename Message>
  void Count(Message message) {
    const double cpu = CpuSeconds();
    message_bytes +=
        EncodeBatch(
            {.messages = {{.target = "model-a", .body = std::move(message)}}})
            .size();
    codec_cpu += CpuSeconds() - cpu;
  }

  void Submit() {
    PermitRequest request{
        .id = {.incarnation = {.high = 3, .low = 4}, .sequence = ++requests},
        .target = "model-a",
        .workspace = "workspace-" + std::to_string(random_.NextBelow(5000)),
        .tier = static_cast<Tier>(random_.NextBelow(kMaxTiers)),
        .fingerprint = {.high = random_.Next(), .low = random_.Next()},
        .prompt_tokens =
            static_cast<std::uint32_t>(50 + random_.NextBelow(4000)),
        .max_output_tokens = 300,
        .prefix_hashes = {random_.Next(), random_.Next(), random_.Next()},
        .time_left = milliseconds(60000),
        .excluded = {}};
    Count(request);
    scheduler_->Submit(now_, std::move(request), "host-1");
  }

  void OnGrant(const GrantAction& grant) {
    ++grants;
    Count(GrantMessage{.permit = grant.permit,
                       .request = grant.request,
                       .upstream = grant.upstream,
                       .address = grant.address});
    ends_.push({now_ + milliseconds(1000 + random_.NextBelow(5000)),
                {.permit = grant.permit,
                 .request = grant.request,
                 .upstream = grant.upstream,
                 .end = PermitEnd::kCompleted,
                 .prompt_tokens = 2000,
                 .output_tokens = 300,
                 .time_to_first_token = milliseconds(300),
                 .total_time = milliseconds(3000)}});
  }

  void End(const PermitOutcome& outcome) {
    Count(outcome);
    scheduler_->OnOutcome(now_, outcome);
  }

  using Ending = std::pair<MonotonicTime, PermitOutcome>;
  struct Later {
    bool operator()(const Ending& a, const Ending& b) const {
      return a.first > b.first;
    }
  };

  Random random_;
  std::size_t upstreams_;
  std::unique_ptr<GroupScheduler> scheduler_;
  MonotonicTime now_ = kStart;
  double submit_due_ = 0;
  std::priority_queue<Ending, std::vector<Ending>, Later> ends_;
};

void MeasureScheduler() {
  std::printf(
      "scheduler of a group, 60 s, 1.56 requests/s for each upstream\n"
      "upstreams  requests/s  granted    core  codec core  heap KiB  "
      "bytes/request\n");
  for (const std::size_t upstreams : {25, 50, 100, 200}) {
    const double heap = HeapKib();
    GroupLoad load(upstreams);
    load.Run(seconds(20));
    const std::uint64_t requests = load.requests;
    const std::uint64_t grants = load.grants;
    const std::uint64_t bytes = load.message_bytes;
    const double codec = load.codec_cpu;
    const double cpu = CpuSeconds();
    load.Run(seconds(60));
    const double used = CpuSeconds() - cpu;
    const double codec_used = load.codec_cpu - codec;
    const auto count = static_cast<double>(load.requests - requests);
    std::printf(
        "%9zu %11.1f %7.0f%% %6.3f%% %10.3f%% %9.0f %14.0f\n", upstreams,
        count / 60, 100.0 * static_cast<double>(load.grants - grants) / count,
        100 * (used - codec_used) / 60, 100 * codec_used / 60, HeapKib() - heap,
        static_cast<double>(load.message_bytes - bytes) / count);
  }
}

std::string DocumentText(std::size_t workspaces) {
  std::string text = R"({"tiers":[{"name":"a"},{"name":"b"}],"workspaces":[)";
  Random random(FLAGS_seed);
  for (std::size_t n = 0; n < workspaces; ++n) {
    std::string hash;
    for (int digit = 0; digit < 64; ++digit) {
      hash += "0123456789abcdef"[random.NextBelow(16)];
    }
    text += std::string(n == 0 ? "" : ",") + R"({"id":"workspace-)" +
            std::to_string(n) + R"(","key_hashes":[")" + hash +
            R"("],"limits":{"requests_per_second":10}})";
  }
  return text + "]}";
}

void MeasureDocument() {
  std::printf(
      "document held by every host\n"
      "workspaces  text KiB  heap KiB  read CPU ms  changed chunk KiB\n");
  for (const std::size_t workspaces : {1000, 4000, 16000, 31000}) {
    const std::string text = DocumentText(workspaces);
    ReadDocument("{}");
    malloc_trim(0);
    const double heap = HeapKib();
    const double cpu = CpuSeconds();
    ReadOutcome outcome = ReadDocument(text);
    const double used = CpuSeconds() - cpu;
    const double held = HeapKib() - heap;
    std::size_t largest = 0;
    for (const Chunk& it : SplitSection(
             "workspaces", WriteElements(outcome.document, "workspaces"))) {
      largest = std::max(largest, it.text.size());
    }
    std::printf("%10zu %9.0f %9.0f %12.1f %18.1f%s\n", workspaces,
                static_cast<double>(text.size()) / 1024, held, used * 1000,
                static_cast<double>(largest) / 1024,
                outcome.faults.empty() ? "" : "  (has faults)");
  }
}

void MeasureClaims() {
  std::printf(
      "claims of concurrent bookings\n"
      "bookings  store calls/booking  heap KiB/booking  CPU us/booking\n");
  for (const std::size_t bookings : {64, 256, 1024, 4096}) {
    const double heap = HeapKib();
    const double cpu = CpuSeconds();
    std::uint64_t calls = 0;
    const auto count = [&calls](const ClaimAttempt::Actions& actions) {
      for (const ClaimAction& it : actions) {
        calls += std::holds_alternative<CreateClaimAction>(it) ||
                         std::holds_alternative<UpdateClaimAction>(it) ||
                         std::holds_alternative<ReadClaimAction>(it)
                     ? 1
                     : 0;
      }
    };
    std::vector<std::unique_ptr<ClaimAttempt>> attempts;
    for (std::size_t n = 0; n < bookings; ++n) {
      attempts.push_back(std::make_unique<ClaimAttempt>(
          ClaimAttemptOptions{.token = {.high = 1, .low = n},
                              .owner = {.high = 2, .low = 3},
                              .fingerprint = {.high = 4, .low = n},
                              .deadline = kStart + seconds(30)}));
      count(attempts.back()->Start(kStart));
      count(attempts.back()->OnWritten(kStart, StoreWriteResult::kApplied, 1));
    }
    const double held = HeapKib() - heap;
    for (const auto& it : attempts) {
      count(it->Record(kStart, {.status = 200,
                                .content_type = "application/json",
                                .body = std::string(500, 'x')}));
      count(it->OnWritten(kStart, StoreWriteResult::kApplied, 2));
    }
    const auto total = static_cast<double>(bookings);
    std::printf("%8zu %20.2f %17.2f %15.1f\n", bookings,
                static_cast<double>(calls) / total, held / total,
                1e6 * (CpuSeconds() - cpu) / total);
  }
}

// The lease object of one data centre in a store that always answers.
struct LeaseStore {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::optional<LeaseObject> object;

  void Carry(MonotonicTime now,
             const LeaseAction& action,
             const Incarnation& host,
             OrderLease* lease) {
    if (action.kind == LeaseAction::Kind::kRead) {
      ++reads;
      lease->OnRead(now, object);
      return;
    }
    ++writes;
    const std::uint64_t version = object ? object->version : 0;
    if (action.kind == LeaseAction::Kind::kUpdate
            ? action.expected_version != version
            : version != 0) {
      lease->OnWritten(now, StoreWriteResult::kConflict, 0);
      return;
    }
    object = LeaseObject{.holder = host, .version = version + 1};
    lease->OnWritten(now, StoreWriteResult::kApplied, version + 1);
  }
};

void MeasureOrders() {
  std::printf(
      "holder of orders of one data centre, 600 s; every host competes\n"
      "hosts  reads/s  writes/s  CPU us/s each host\n");
  for (const std::uint64_t hosts : {3, 7, 14, 28}) {
    LeaseStore store;
    std::vector<std::pair<Incarnation, OrderLease>> leases;
    for (std::uint64_t n = 0; n < hosts; ++n) {
      const Incarnation self{.high = 1, .low = n};
      leases.emplace_back(self, OrderLease({.self = self}));
    }
    const double cpu = CpuSeconds();
    const MonotonicTime end = kStart + seconds(600);
    for (MonotonicTime now = kStart; now < end; now += milliseconds(50)) {
      for (auto& [self, lease] : leases) {
        if (const auto action = lease.OnTime(now)) {
          store.Carry(now, *action, self, &lease);
        }
      }
    }
    std::printf("%5llu %8.2f %9.2f %19.2f\n",
                static_cast<unsigned long long>(hosts),
                static_cast<double>(store.reads) / 600,
                static_cast<double>(store.writes) / 600,
                1e6 * (CpuSeconds() - cpu) / 600 / static_cast<double>(hosts));
  }
}

void MeasureQuarantine() {
  std::printf(
      "quarantine list\n"
      "records  heap KiB  full list KiB  comparison bytes\n");
  for (const std::size_t records : {64, 512, 2048, 4096}) {
    const double heap = HeapKib();
    Random random(FLAGS_seed);
    QuarantineList list({.high = 1, .low = 2}, {});
    for (std::size_t n = 0; n < records; ++n) {
      list.Quarantine({.high = random.Next(), .low = random.Next()},
                      std::chrono::hours(1), kStart);
    }
    const double held = HeapKib() - heap;
    const QuarantineExchange comparison{.digest = list.Digest(kStart),
                                        .records = {}};
    const QuarantineExchange full{.digest = list.Digest(kStart),
                                  .records = list.Records(kStart)};
    std::printf("%7zu %9.0f %14.1f %17zu\n", records, held,
                static_cast<double>(EncodeExchange(full).size()) / 1024,
                EncodeExchange(comparison).size());
  }
}

}  // namespace
}  // namespace flamingogauge

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::printf("seed %llu\n", static_cast<unsigned long long>(FLAGS_seed));
  flamingogauge::MeasureScheduler();
  flamingogauge::MeasureDocument();
  flamingogauge::MeasureClaims();
  flamingogauge::MeasureOrders();
  flamingogauge::MeasureQuarantine();
  return 0;
}
