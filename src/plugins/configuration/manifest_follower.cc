#include "plugins/configuration/manifest_follower.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "libs/document/revision_rules.h"
#include "plugins/configuration/configuration_messages.h"
#include "plugins/configuration/revision_loader.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInitialRetryDelay{100};
constexpr milliseconds kMaxRetryDelay{5000};
// How often a host checks whether it has become a watcher.
constexpr milliseconds kRoleCheckInterval{1000};
// How long a starting host waits for the store before it asks its peers.
constexpr milliseconds kStoreGracePeriod{500};
constexpr milliseconds kPeerCallTimeLimit{1000};
constexpr milliseconds kPeerRetryDelay{300};
// How long a host that is not a watcher waits before it fetches a revision from
// another data centre. Its data centre's watchers fetch first, so that the
// transfer crosses the link between data centres only once or twice.
constexpr milliseconds kRemoteSourceDelay{1000};

}  // namespace

ManifestFollower::ManifestFollower(CoreContext& context,
                                   std::function<void()> on_empty_store)
    : context_(context),
      on_empty_store_(std::move(on_empty_store)),
      store_backoff_(kInitialRetryDelay, kMaxRetryDelay),
      load_backoff_(kInitialRetryDelay, kMaxRetryDelay) {}

void ManifestFollower::Start() {
  ReadStore();
  RunAfter(context_, kStoreGracePeriod, [this] { StartBootRound(); });
}

FollowerStatus ManifestFollower::Status() const {
  std::lock_guard<std::mutex> lock(status_mutex_);
  return status_;
}

// The calls to the store form one loop: read the manifest, watch it until the
// time limit, read it again. The repeated read detects a store that was
// restored to an older state: its versions are lower than the known one, so a
// watch would not report them.
void ManifestFollower::ReadStore() {
  const bool is_watcher = IsWatcher(context_);
  {
    std::lock_guard<std::mutex> lock(status_mutex_);
    status_.is_watching = is_watcher;
  }
  if (!is_watcher && context_.in_force.Number() != 0) {
    RunAfter(context_, kRoleCheckInterval, [this] { ReadStore(); });
    return;
  }
  context_.store.Get(kManifestKey,
                     OnRunner<StoredObject>(
                         context_, [this](const Result<StoredObject>& object) {
                           OnStoreRead(object);
                         }));
}

void ManifestFollower::OnStoreRead(const Result<StoredObject>& object) {
  if (object) {
    store_backoff_.Reset();
    OnStoreManifest(object.value());
    WatchStore();
    return;
  }
  if (object.error().code != ErrorCode::kNotFound) {
    SetStoreProblem(ToString(object.error()));
    StartBootRound();
  } else if (context_.in_force.Number() == 0) {
    SetStoreProblem("the store holds no document");
    on_empty_store_();
  } else {
    SetStoreProblem("the store holds no document, while revision " +
                    std::to_string(context_.in_force.Number()) +
                    " is in force here; that revision is kept");
  }
  RunAfter(context_, store_backoff_.Next(context_), [this] { ReadStore(); });
}

void ManifestFollower::WatchStore() {
  if (!IsWatcher(context_)) {
    RunAfter(context_, kRoleCheckInterval, [this] { ReadStore(); });
    return;
  }
  context_.store.Watch(
      kManifestKey, known_version_, context_.settings.watch_time_limit,
      OnRunner<StoredObject>(
          context_,
          [this](const Result<StoredObject>& object) { OnWatchEnd(object); }));
}

void ManifestFollower::OnWatchEnd(const Result<StoredObject>& object) {
  if (object) {
    OnStoreManifest(object.value());
    WatchStore();
    return;
  }
  if (object.error().code == ErrorCode::kTimeout) {
    ReadStore();
    return;
  }
  SetStoreProblem(ToString(object.error()));
  RunAfter(context_, store_backoff_.Next(context_), [this] { ReadStore(); });
}

void ManifestFollower::OnStoreManifest(const StoredObject& object) {
  known_version_ = object.version;
  const std::optional<Manifest> manifest = ReadManifest(object.value);
  const auto in_force = context_.in_force.Current();
  if (!manifest) {
    SetStoreProblem("the manifest in the store is malformed");
    return;
  }
  if (in_force && manifest->revision < in_force->manifest.revision) {
    // An edit of this host may have been accepted after the read.
    SetStoreProblem("the store holds revision " +
                    std::to_string(manifest->revision) + ", while revision " +
                    std::to_string(in_force->manifest.revision) +
                    " is in force here; the older one is not followed");
    return;
  }
  SetStoreProblem("");
  ProcessOffer({.text = object.value,
                .source = ChooseSource().value_or(HostId()),
                .revision = manifest->revision});
}

void ManifestFollower::StartBootRound() {
  if (context_.in_force.Number() != 0 || is_in_boot_round_ || is_loading_) {
    return;
  }
  is_in_boot_round_ = true;
  PeerRound::Run(context_, BootRoundHosts(context_),
                 [this](OfferedManifest offer) {
                   is_in_boot_round_ = false;
                   if (offer.revision > 0) {
                     ProcessOffer(std::move(offer));
                   } else if (!is_boot_round_scheduled_) {
                     is_boot_round_scheduled_ = true;
                     RunAfter(context_, kStoreGracePeriod, [this] {
                       is_boot_round_scheduled_ = false;
                       StartBootRound();
                     });
                   }
                 });
}

std::optional<HostId> ManifestFollower::ChooseSource() {
  if (context_.membership == nullptr || context_.transport == nullptr) {
    return std::nullopt;
  }
  const Member& self = context_.membership->Self();
  std::uint64_t highest = context_.in_force.Number();
  std::uint64_t highest_local = highest;
  const auto members = context_.membership->Current();
  const auto is_other = [&self](const Member& it) {
    return it.host != self.host && it.state != MemberState::kDead;
  };
  for (const Member& it : *members) {
    if (is_other(it)) {
      highest = std::max(highest, it.document_revision);
      if (it.data_centre == self.data_centre) {
        highest_local = std::max(highest_local, it.document_revision);
      }
    }
  }
  if (highest == context_.in_force.Number()) {
    remote_revision_since_.reset();
    return std::nullopt;
  }
  const bool use_local = highest_local > context_.in_force.Number();
  if (!use_local && !IsWatcher(context_)) {
    const MonotonicTime now = context_.runner->Now();
    remote_revision_since_ = remote_revision_since_.value_or(now);
    if (now - *remote_revision_since_ < kRemoteSourceDelay) {
      return std::nullopt;
    }
  }
  std::vector<HostId> candidates;
  for (const Member& it : *members) {
    const bool has_revision =
        it.document_revision == (use_local ? highest_local : highest);
    const bool is_local = it.data_centre == self.data_centre;
    if (is_other(it) && has_revision && (is_local || !use_local)) {
      candidates.push_back(it.host);
    }
  }
  return candidates[context_.random.NextBelow(candidates.size())];
}

void ManifestFollower::OnMembership() {
  if (is_asking_peer_ || is_loading_) {
    return;
  }
  if (context_.in_force.Number() == 0 && !Status().store_problem.empty()) {
    // A host that starts while the store is unavailable does not wait for the
    // revisions that its peers report.
    StartBootRound();
    return;
  }
  if (const std::optional<HostId> source = ChooseSource()) {
    FetchFromPeer(*source);
  } else if (remote_revision_since_ && !is_check_scheduled_) {
    is_check_scheduled_ = true;
    RunAfter(context_, kRemoteSourceDelay, [this] {
      is_check_scheduled_ = false;
      OnMembership();
    });
  }
}

void ManifestFollower::FetchFromPeer(const HostId& host) {
  is_asking_peer_ = true;
  context_.transport->Call(
      host, kConfigurationChannel, EncodePeerRequest({}), kPeerCallTimeLimit,
      OnRunner<std::string>(context_, [this, host](Result<std::string> it) {
        is_asking_peer_ = false;
        std::optional<PeerReply> reply =
            it ? DecodePeerReply(it.value()) : std::nullopt;
        const std::optional<Manifest> manifest =
            reply ? ReadManifest(reply->manifest) : std::nullopt;
        if (manifest && manifest->revision > context_.in_force.Number() &&
            manifest->revision != unreadable_revision_) {
          ProcessOffer({.text = std::move(reply->manifest),
                        .source = host,
                        .revision = manifest->revision});
          return;
        }
        RunAfter(context_, WithJitter(context_, kPeerRetryDelay),
                 [this] { OnMembership(); });
      }));
}

void ManifestFollower::ProcessOffer(OfferedManifest offer) {
  const std::optional<Manifest> manifest = ReadManifest(offer.text);
  const auto in_force = context_.in_force.Current();
  const ManifestRelation relation = manifest && in_force
                                        ? Compare(in_force->manifest, *manifest)
                                        : ManifestRelation::kNewer;
  if (relation == ManifestRelation::kDiverged) {
    SetStoreProblem(
        "revision " + std::to_string(offer.revision) +
        " does not follow the revision in force, " +
        std::to_string(in_force->manifest.revision) +
        ": the store was restored to an older state and then edited; the "
        "revision in force is kept");
    return;
  }
  if (relation != ManifestRelation::kNewer ||
      offer.revision == unreadable_revision_) {
    return;
  }
  if (is_loading_) {
    if (!pending_offer_ || pending_offer_->revision < offer.revision) {
      pending_offer_ = std::move(offer);
    }
    return;
  }
  is_loading_ = true;
  RevisionLoader::Load(
      context_, offer.text, offer.source,
      [this,
       offer](const Result<std::shared_ptr<const LoadedRevision>>& loaded) {
        OnLoaded(offer, loaded);
      });
}

void ManifestFollower::OnLoaded(
    const OfferedManifest& offer,
    const Result<std::shared_ptr<const LoadedRevision>>& loaded) {
  is_loading_ = false;
  std::string problem;
  if (loaded) {
    load_backoff_.Reset();
    if (context_.in_force.Set(loaded.value())) {
      context_.log.Info("revision " + std::to_string(offer.revision) +
                        " is in force, from " +
                        (offer.source.empty() ? "the store" : offer.source));
    }
  } else {
    problem = ToString(loaded.error());
    context_.log.Error(problem);
    if (loaded.error().code == ErrorCode::kInternal) {
      unreadable_revision_ = offer.revision;
    } else if (!pending_offer_) {
      OfferedManifest again = offer;
      again.source.clear();
      RunAfter(context_, load_backoff_.Next(context_),
               [this, again] { ProcessOffer(again); });
    }
  }
  {
    std::lock_guard<std::mutex> lock(status_mutex_);
    status_.load_problem = problem;
  }
  if (pending_offer_) {
    OfferedManifest next = std::move(*pending_offer_);
    pending_offer_.reset();
    ProcessOffer(std::move(next));
  }
  if (!is_loading_) {
    OnMembership();
  }
}

void ManifestFollower::SetStoreProblem(std::string problem) {
  std::lock_guard<std::mutex> lock(status_mutex_);
  if (problem != status_.store_problem) {
    if (problem.empty()) {
      context_.log.Info("the store holds a usable manifest again");
    } else {
      context_.log.Warning(problem);
    }
  }
  status_.store_problem = std::move(problem);
}

}  // namespace flamingogauge
