#ifndef FLAMINGOGAUGE_PLUGINS_PLATFORM_HTTP_OBJECT_STORE_H_
#define FLAMINGOGAUGE_PLUGINS_PLATFORM_HTTP_OBJECT_STORE_H_

#include <string>
#include <vector>

#include "libs/http_client/http_loop.h"
#include "libs/services/host_list.h"
#include "libs/services/object_store.h"
#include "plugins/platform/platform_settings.h"

namespace flamingogauge {

// Accesses the platform's object store and host list over HTTP.
class HttpObjectStore : public ObjectStore, public HostList {
 public:
  using ObjectStore::ListCallback;

  explicit HttpObjectStore(const PlatformSettings& settings);

  void Get(std::string key, ObjectCallback callback) override;
  void Create(std::string key,
              std::string value,
              ObjectCallback callback) override;
  void Update(std::string key,
              std::string value,
              std::uint64_t expected_version,
              ObjectCallback callback) override;
  void Delete(std::string key,
              std::uint64_t expected_version,
              VoidCallback callback) override;
  void List(std::string prefix, ListCallback callback) override;
  void Watch(std::string key,
             std::uint64_t after_version,
             std::chrono::milliseconds time_limit,
             ObjectCallback callback) override;

  void Fetch(Callback callback) override;

  const HttpLoop& loop() const { return loop_; }

 private:
  void Submit(HttpCall call);
  void Put(std::string key,
           std::string value,
           std::string condition,
           ErrorCode condition_failed,
           const ObjectCallback& callback);

  const std::string address_;
  const std::chrono::milliseconds call_time_limit_;
  HttpLoop loop_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_PLATFORM_HTTP_OBJECT_STORE_H_
