#ifndef FLAMINGOGAUGE_LIBS_SERVICES_MEMBERSHIP_VIEW_H_
#define FLAMINGOGAUGE_LIBS_SERVICES_MEMBERSHIP_VIEW_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "libs/model/member.h"

namespace flamingogauge {

// The members as this host sees them at one moment, this host included.
using MemberList = std::vector<Member>;

class MembershipView {
 public:
  static constexpr std::string_view kServiceName = "peers.membership";

  using Listener = std::function<void(std::shared_ptr<const MemberList>)>;

  virtual ~MembershipView() = default;

  // This host's own entry; its state and incarnation never change.
  virtual const Member& Self() const = 0;

  // Safe from any thread; never null.
  virtual std::shared_ptr<const MemberList> Current() const = 0;

  // Calls the listener now and after each change, on the peers thread.
  virtual void Subscribe(Listener listener) = 0;

  // Sets the document revision told to the other hosts. Safe from any thread.
  virtual void SetDocumentRevision(std::uint64_t revision) = 0;

  // Tells the other hosts that this one leaves and takes no new work. Called
  // by main when a stop begins, because the peers plugin drains last.
  virtual void AnnounceLeaving() {}
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SERVICES_MEMBERSHIP_VIEW_H_
