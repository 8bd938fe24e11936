#ifndef FLAMINGOGAUGE_LIBS_KERNEL_PLUGIN_MANAGER_H_
#define FLAMINGOGAUGE_LIBS_KERNEL_PLUGIN_MANAGER_H_

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "libs/kernel/error.h"
#include "libs/kernel/plugin.h"
#include "libs/kernel/service_registry.h"

namespace flamingogauge {

// Serves the joined state dump of all plugins; registered as "kernel.dump".
class StateDumper {
 public:
  static constexpr std::string_view kServiceName = "kernel.dump";
  virtual ~StateDumper() = default;

  // Returns a JSON object with one member for each plugin.
  virtual std::string DumpAll() const = 0;
};

// Owns the plugins and leads them through their life.
class PluginManager : public StateDumper {
 public:
  PluginManager() = default;
  PluginManager(const PluginManager&) = delete;
  PluginManager& operator=(const PluginManager&) = delete;

  // Destroys the plugins in reverse order of their addition.
  ~PluginManager() override;

  // Adds a plugin after those on whose services it depends.
  void Add(std::unique_ptr<Plugin> plugin);

  // Initialises all plugins. The first error stops the start and names the
  // plugin as its step.
  Result<void> Start();

  // Lets all plugins read their settings again. Returns the first error, which
  // names the plugin as its step; the other plugins reload all the same.
  Result<void> Reload();

  // Drains the plugins one after another in reverse order. Returns false if
  // `time_limit` passed before the last one was done.
  bool Shutdown(std::chrono::milliseconds time_limit);

  std::string DumpAll() const override;

  // Gives tests and main access to the services.
  ServiceRegistry& registry() { return registry_; }

 private:
  ServiceRegistry registry_;
  std::vector<std::unique_ptr<Plugin>> plugins_;
  mutable std::mutex dump_mutex_;
  bool destroying_ = false;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_KERNEL_PLUGIN_MANAGER_H_
