#include "libs/kernel/plugin_manager.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <utility>

namespace flamingogauge {
namespace {

// Lets one thread wait until another reports that a plugin has drained. Shared
// with the callback, which may outlive the wait when the time limit passes.
struct DrainState {
  std::mutex mutex;
  std::condition_variable changed;
  bool done = false;
};

bool DrainPlugin(Plugin& plugin,
                 std::chrono::steady_clock::time_point deadline) {
  auto state = std::make_shared<DrainState>();
  plugin.AboutToShutdown([state] {
    std::lock_guard<std::mutex> lock(state->mutex);
    state->done = true;
    state->changed.notify_all();
  });
  std::unique_lock<std::mutex> lock(state->mutex);
  return state->changed.wait_until(lock, deadline,
                                   [&state] { return state->done; });
}

Error WithPluginName(Error error, std::string_view name) {
  error.step = std::string(name) + ": " + error.step;
  return error;
}

}  // namespace

PluginManager::~PluginManager() {
  {
    // Waits for a state dump in progress and keeps later ones off plugins that
    // are being destroyed.
    std::lock_guard<std::mutex> lock(dump_mutex_);
    destroying_ = true;
  }
  while (!plugins_.empty()) {
    plugins_.pop_back();
  }
}

void PluginManager::Add(std::unique_ptr<Plugin> plugin) {
  plugins_.push_back(std::move(plugin));
}

Result<void> PluginManager::Start() {
  Result<void> registered = registry_.Register<StateDumper>(kServiceName, this);
  if (!registered) {
    return registered.error();
  }
  for (const auto& it : plugins_) {
    Result<void> initialized = it->Initialize(registry_);
    if (!initialized) {
      return WithPluginName(initialized.error(), it->Name());
    }
  }
  for (const auto& it : plugins_) {
    Result<void> initialized = it->ExtensionsInitialized(registry_);
    if (!initialized) {
      return WithPluginName(initialized.error(), it->Name());
    }
  }
  return boost::outcome_v2::success();
}

Result<void> PluginManager::Reload() {
  Result<void> result = boost::outcome_v2::success();
  for (const auto& it : plugins_) {
    const Result<void> reloaded = it->Reload();
    if (!reloaded && result) {
      result = WithPluginName(reloaded.error(), it->Name());
    }
  }
  return result;
}

bool PluginManager::Shutdown(std::chrono::milliseconds time_limit) {
  const auto deadline = std::chrono::steady_clock::now() + time_limit;
  bool all_done = true;
  for (auto it = plugins_.rbegin(); it != plugins_.rend(); ++it) {
    all_done = DrainPlugin(**it, deadline) && all_done;
  }
  return all_done;
}

std::string PluginManager::DumpAll() const {
  std::lock_guard<std::mutex> lock(dump_mutex_);
  if (destroying_) {
    return "{}";
  }
  std::string text = "{";
  for (const auto& it : plugins_) {
    if (text.size() > 1) {
      text += ",";
    }
    text += "\"" + std::string(it->Name()) + "\":" + it->DumpState();
  }
  return text + "}";
}

}  // namespace flamingogauge
