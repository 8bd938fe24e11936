#ifndef FLAMINGOGAUGE_PLUGINS_CONFIGURATION_MANIFEST_FOLLOWER_H_
#define FLAMINGOGAUGE_PLUGINS_CONFIGURATION_MANIFEST_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "plugins/configuration/core_context.h"
#include "plugins/configuration/peer_round.h"

namespace flamingogauge {

// The follower's part of the state dump.
struct FollowerStatus {
  bool is_watching = false;
  // Empty when the last call to the store succeeded.
  std::string store_problem;
  std::string load_problem;
};

// Receives accepted revisions from the store and from other hosts, loads them
// and puts them in force.
class ManifestFollower {
 public:
  // `on_empty_store` runs when the store has no manifest and this host has no
  // document.
  ManifestFollower(CoreContext& context, std::function<void()> on_empty_store);
  ManifestFollower(const ManifestFollower&) = delete;
  ManifestFollower& operator=(const ManifestFollower&) = delete;

  void Start();

  // Called when the members or the revisions that they report have changed.
  void OnMembership();

  // Safe from any thread.
  FollowerStatus Status() const;

 private:
  void ReadStore();
  void OnStoreRead(const Result<StoredObject>& object);
  void WatchStore();
  void OnWatchEnd(const Result<StoredObject>& object);
  void OnStoreManifest(const StoredObject& object);

  void StartBootRound();

  void FetchFromPeer(const HostId& host);
  std::optional<HostId> ChooseSource();

  void ProcessOffer(OfferedManifest offer);
  void OnLoaded(const OfferedManifest& offer,
                const Result<std::shared_ptr<const LoadedRevision>>& loaded);

  void SetStoreProblem(std::string problem);

  CoreContext& context_;
  std::function<void()> on_empty_store_;
  Backoff store_backoff_;
  Backoff load_backoff_;
  // The version of the manifest object that was seen last.
  std::uint64_t known_version_ = 0;
  bool is_loading_ = false;
  bool is_asking_peer_ = false;
  bool is_check_scheduled_ = false;
  bool is_in_boot_round_ = false;
  bool is_boot_round_scheduled_ = false;
  // When another host was first seen with a revision that none of this data
  // centre has.
  std::optional<MonotonicTime> remote_revision_since_;
  // The newest offer that arrived while another revision was being loaded.
  std::optional<OfferedManifest> pending_offer_;
  // A revision that this program cannot read.
  std::uint64_t unreadable_revision_ = 0;
  mutable std::mutex status_mutex_;
  FollowerStatus status_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CONFIGURATION_MANIFEST_FOLLOWER_H_
