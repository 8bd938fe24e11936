#ifndef FLAMINGOGAUGE_LIBS_PLATFORM_IN_MEMORY_HOST_LIST_H_
#define FLAMINGOGAUGE_LIBS_PLATFORM_IN_MEMORY_HOST_LIST_H_

#include <mutex>
#include <vector>

#include "libs/platform/task_runner.h"
#include "libs/services/host_list.h"

namespace flamingogauge {

// A host list whose contents are set with Set(). Thread-safe.
class InMemoryHostList : public HostList {
 public:
  // Callbacks run on `runner`, which must outlive the list.
  explicit InMemoryHostList(TaskRunner& runner) : runner_(runner) {}

  void Set(std::vector<ListedHost> hosts);

  void Fetch(Callback callback) override;

 private:
  TaskRunner& runner_;
  std::mutex mutex_;
  std::vector<ListedHost> hosts_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_PLATFORM_IN_MEMORY_HOST_LIST_H_
