#ifndef FLAMINGOGAUGE_LIBS_KERNEL_PLUGIN_H_
#define FLAMINGOGAUGE_LIBS_KERNEL_PLUGIN_H_

#include <functional>
#include <string>
#include <string_view>

#include "libs/kernel/error.h"
#include "libs/kernel/service_registry.h"

namespace flamingogauge {

// One capability of the program. The kernel calls Initialize on all plugins in
// order, then ExtensionsInitialized on all in order; at the end
// AboutToShutdown on all in reverse order, and destroys them in reverse order.
class Plugin {
 public:
  virtual ~Plugin() = default;

  // The fixed name, which is also the section's key in the state dump.
  virtual std::string_view Name() const = 0;

  // Checks the settings and registers the plugin's services.
  virtual Result<void> Initialize(ServiceRegistry& registry) = 0;

  // Looks up the services of other plugins and starts the plugin's threads.
  virtual Result<void> ExtensionsInitialized(ServiceRegistry& registry) = 0;

  // Reads the plugin's settings again and applies those that may change while
  // it runs. On an error it keeps those that it has. Called between the start
  // and the drain; most plugins read their settings at the start only.
  virtual Result<void> Reload() { return boost::outcome_v2::success(); }

  // Starts to drain: accepts no new work and finishes what is in flight. Calls
  // `done` exactly once, from any thread, when nothing is left to wait for.
  virtual void AboutToShutdown(std::function<void()> done) = 0;

  // Returns the plugin's section of the state dump, a JSON object as text of
  // bounded size. Called from any thread while the plugin runs.
  virtual std::string DumpState() const = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_KERNEL_PLUGIN_H_
