#include "plugins/crashes/crashes_plugin.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include "libs/services/document_source.h"
#include "libs/services/membership_view.h"
#include "libs/services/peer_transport.h"
#include "plugins/crashes/quarantine_spreader.h"

namespace flamingogauge {
namespace {

// A new host retries at this shorter interval until it has sent its first
// comparison.
constexpr std::chrono::milliseconds kFirstExchangeInterval{500};

}  // namespace

class CrashesPlugin::Private {
 public:
  explicit Private(CrashesSettings s)
      : settings(s), quarantine_time_ms(s.quarantine_time.count()) {}

  ~Private() { Stop(); }

  void Stop() {
    {
      std::lock_guard<std::mutex> lock(mutex);
      is_stopping = true;
    }
    changed.notify_all();
    if (thread.joinable()) {
      thread.join();
    }
  }

  // Periodically compares the list with another host's until the plugin stops.
  void Run() {
    bool has_sent_comparison = false;
    std::unique_lock<std::mutex> lock(mutex);
    while (!is_stopping) {
      const auto interval =
          has_sent_comparison
              ? settings.exchange_interval
              : std::min(settings.exchange_interval, kFirstExchangeInterval);
      changed.wait_for(lock, interval, [this] { return is_stopping; });
      if (!is_stopping) {
        lock.unlock();
        has_sent_comparison =
            spreader->CompareWithRandomHost() || has_sent_comparison;
        lock.lock();
      }
    }
  }

  const CrashesSettings settings;
  std::atomic<std::int64_t> quarantine_time_ms;
  std::shared_ptr<QuarantineSpreader> spreader;
  std::mutex mutex;
  std::condition_variable changed;
  bool is_stopping = false;
  std::thread thread;
};

CrashesPlugin::CrashesPlugin(CrashesSettings settings)
    : d_(std::make_shared<Private>(settings)) {}

CrashesPlugin::~CrashesPlugin() {
  d_->Stop();
}

Result<void> CrashesPlugin::Initialize(ServiceRegistry& registry) {
  Result<void> checked = CheckCrashesSettings(d_->settings);
  if (!checked) {
    return checked.error();
  }
  // The peers plugin registers before this one; see plugins/CMakeLists.txt.
  Result<PeerTransport*> transport =
      registry.Find<PeerTransport>(PeerTransport::kServiceName);
  Result<MembershipView*> membership =
      registry.Find<MembershipView>(MembershipView::kServiceName);
  if (!transport || !membership) {
    return transport ? membership.error() : transport.error();
  }
  QuarantineList::Options options;
  options.max_records = d_->settings.max_records;
  d_->spreader = std::make_shared<QuarantineSpreader>(
      options, transport.value(), membership.value());
  return registry.Register<QuarantineService>(QuarantineService::kServiceName,
                                              this);
}

Result<void> CrashesPlugin::ExtensionsInitialized(ServiceRegistry& registry) {
  Result<PeerTransport*> transport =
      registry.Find<PeerTransport>(PeerTransport::kServiceName);
  if (!transport) {
    return transport.error();
  }
  transport.value()->Handle(kQuarantineChannel,
                            [spreader = std::weak_ptr(d_->spreader)](
                                const HostId& from, const std::string& payload,
                                const PeerTransport::ReplyCallback& reply) {
                              if (const auto target = spreader.lock()) {
                                reply(target->Answer(from, payload));
                              }
                            });
  Result<DocumentSource*> documents =
      registry.Find<DocumentSource>(DocumentSource::kServiceName);
  if (documents) {
    documents.value()->Subscribe(
        [d = std::weak_ptr(d_)](const std::shared_ptr<const Document>& it) {
          if (const auto target = d.lock()) {
            target->quarantine_time_ms =
                std::chrono::milliseconds(it->policy.quarantine).count();
          }
        });
  }
  d_->thread = std::thread([d = d_.get()] { d->Run(); });
  return boost::outcome_v2::success();
}

void CrashesPlugin::AboutToShutdown(std::function<void()> done) {
  done();
}

std::string CrashesPlugin::DumpState() const {
  return "{\"records\":" + std::to_string(d_->spreader->Records().size()) +
         ",\"quarantined\":" + std::to_string(List().size()) +
         ",\"messages_sent\":" + std::to_string(d_->spreader->messages_sent()) +
         ",\"messages_failed\":" +
         std::to_string(d_->spreader->messages_failed()) + "}";
}

bool CrashesPlugin::IsQuarantined(const Fingerprint& fingerprint) const {
  return d_->spreader->IsQuarantined(fingerprint);
}

std::vector<QuarantineEntry> CrashesPlugin::List() const {
  std::vector<QuarantineEntry> entries;
  for (const QuarantineRecord& it : d_->spreader->Records()) {
    if (it.is_quarantined) {
      entries.push_back(
          {.fingerprint = it.fingerprint, .time_left = it.time_left});
    }
  }
  return entries;
}

void CrashesPlugin::Quarantine(const Fingerprint& fingerprint) {
  d_->spreader->Quarantine(
      fingerprint, std::chrono::milliseconds(d_->quarantine_time_ms.load()));
}

bool CrashesPlugin::Release(const Fingerprint& fingerprint) {
  return d_->spreader->Release(fingerprint);
}

}  // namespace flamingogauge
