#include "libs/platform/in_memory_host_list.h"

#include <utility>

namespace flamingogauge {

void InMemoryHostList::Set(std::vector<ListedHost> hosts) {
  std::lock_guard<std::mutex> lock(mutex_);
  hosts_ = std::move(hosts);
}

void InMemoryHostList::Fetch(Callback callback) {
  std::vector<ListedHost> hosts;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    hosts = hosts_;
  }
  if (!runner_.Post([callback, hosts] { callback(hosts); })) {
    callback(Error{.code = ErrorCode::kResourceExhausted,
                   .step = "fetch host list",
                   .peer = "",
                   .message = "the task queue is full"});
  }
}

}  // namespace flamingogauge
