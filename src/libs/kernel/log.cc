#include "libs/kernel/log.h"

#include <easylogging++.h>

#include <atomic>

INITIALIZE_EASYLOGGINGPP

namespace flamingogauge {
namespace {

std::atomic<LogLevel>& LowestLevel() {
  static std::atomic<LogLevel> level = LogLevel::kInfo;
  return level;
}

bool IsEnabled(LogLevel level) {
  return level >= LowestLevel().load(std::memory_order_relaxed);
}

}  // namespace

void InitializeLogging(LogLevel lowest_level) {
  LowestLevel() = lowest_level;
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} %levshort %msg");
  el::Loggers::reconfigureAllLoggers(configuration);
  // The library writes to standard output only; a dispatch callback sends the
  // formatted line to standard error, so that command output stays clean.
  class StandardErrorCallback : public el::LogDispatchCallback {
   protected:
    void handle(const el::LogDispatchData* data) override {
      const std::string line =
          data->logMessage()->logger()->logBuilder()->build(
              data->logMessage(),
              data->dispatchAction() == el::base::DispatchAction::NormalLog);
      std::fputs(line.c_str(), stderr);
    }
  };
  el::Helpers::installLogDispatchCallback<StandardErrorCallback>(
      "standard-error");
}

void Logger::Debug(std::string_view message) const {
  if (IsEnabled(LogLevel::kDebug)) {
    LOG(DEBUG) << prefix_ << ": " << message;
  }
}

void Logger::Info(std::string_view message) const {
  if (IsEnabled(LogLevel::kInfo)) {
    LOG(INFO) << prefix_ << ": " << message;
  }
}

void Logger::Warning(std::string_view message) const {
  if (IsEnabled(LogLevel::kWarning)) {
    LOG(WARNING) << prefix_ << ": " << message;
  }
}

void Logger::Error(std::string_view message) const {
  if (IsEnabled(LogLevel::kError)) {
    LOG(ERROR) << prefix_ << ": " << message;
  }
}

}  // namespace flamingogauge
