#include "plugins/configuration/configuration_plugin.h"

#include <chrono>
#include <fstream>
#include <iterator>
#include <random>
#include <utility>

#include "libs/document/document_json.h"
#include "libs/platform/thread_task_runner.h"
#include "plugins/configuration/configuration_core.h"

namespace flamingogauge {
namespace {

constexpr std::size_t kMaxWaitingTasks = 8192;

std::uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::chrono::seconds WallClock() {
  return std::chrono::duration_cast<std::chrono::seconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

Error SettingsError(std::string message) {
  return Error{.code = ErrorCode::kInvalidArgument,
               .step = "check settings",
               .peer = "",
               .message = std::move(message)};
}

// Reads the initial document's file into its text and validates it.
Result<void> PrepareInitialDocument(ConfigurationSettings& settings) {
  std::string name = "the built-in document";
  if (settings.initial_document_text.empty()) {
    if (settings.initial_document.empty()) {
      return boost::outcome_v2::success();
    }
    name = "--initial_document=" + settings.initial_document;
    std::ifstream file(settings.initial_document, std::ios::binary);
    if (!file) {
      return SettingsError(name + " cannot be read");
    }
    settings.initial_document_text.assign(std::istreambuf_iterator<char>(file),
                                          {});
  }
  const ReadOutcome outcome = ReadDocument(settings.initial_document_text);
  if (outcome.faults.empty()) {
    return boost::outcome_v2::success();
  }
  std::string message = name + " is not valid:";
  for (const DocumentFault& it : outcome.faults) {
    message +=
        "\n  " + it.section + it.path + ": " + it.value + ": " + it.allowed;
  }
  return SettingsError(std::move(message));
}

}  // namespace

struct ConfigurationPlugin::Private {
  ConfigurationSettings settings;
  std::shared_ptr<ThreadTaskRunner> runner;
  std::unique_ptr<ConfigurationCore> core;
};

ConfigurationPlugin::ConfigurationPlugin(ConfigurationSettings settings)
    : private_(std::make_unique<Private>()) {
  private_->settings = std::move(settings);
}

ConfigurationPlugin::~ConfigurationPlugin() {
  if (private_->runner) {
    private_->runner->Stop();
  }
}

Result<void> ConfigurationPlugin::Initialize(ServiceRegistry& registry) {
  Result<void> checked = CheckConfigurationSettings(private_->settings);
  if (checked) {
    checked = PrepareInitialDocument(private_->settings);
  }
  if (!checked) {
    return checked.error();
  }
  const Result<ObjectStore*> store =
      registry.Find<ObjectStore>(ObjectStore::kServiceName);
  if (!store) {
    return store.error();
  }
  private_->runner = std::make_shared<ThreadTaskRunner>(kMaxWaitingTasks);
  private_->core = std::make_unique<ConfigurationCore>(
      CoreOptions{.runner = private_->runner,
                  .store = store.value(),
                  .settings = private_->settings,
                  .seed = RandomSeed(),
                  .wall_clock = &WallClock});
  Result<void> registered = registry.Register<DocumentSource>(
      DocumentSource::kServiceName, private_->core.get());
  if (registered) {
    registered = registry.Register<DocumentEditor>(DocumentEditor::kServiceName,
                                                   private_->core.get());
  }
  return registered;
}

Result<void> ConfigurationPlugin::ExtensionsInitialized(
    ServiceRegistry& registry) {
  const Result<PeerTransport*> transport =
      registry.Find<PeerTransport>(PeerTransport::kServiceName);
  const Result<MembershipView*> membership =
      registry.Find<MembershipView>(MembershipView::kServiceName);
  private_->core->Start(transport ? transport.value() : nullptr,
                        membership ? membership.value() : nullptr);
  return boost::outcome_v2::success();
}

void ConfigurationPlugin::AboutToShutdown(std::function<void()> done) {
  // The document in force stays readable. Once the runner has stopped, no task
  // uses the peers plugin, which is destroyed before this one.
  private_->runner->Stop();
  done();
}

std::string ConfigurationPlugin::DumpState() const {
  return private_->core ? private_->core->DumpState() : "{}";
}

}  // namespace flamingogauge
