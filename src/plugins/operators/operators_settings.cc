#include "plugins/operators/operators_settings.h"

#include <gflags/gflags.h>

#include "libs/http_server/http_server.h"

DEFINE_string(operators_address,
              flamingogauge::OperatorsSettings{}.address,
              "listen address for operators, ip:port; port 0 lets the kernel "
              "choose");
DEFINE_string(
    operators_token,
    "",
    "bearer token of operators; preferably set as FLAGS_operators_token "
    "in the environment");

namespace flamingogauge {
namespace {

constexpr std::size_t kMinTokenBytes = 8;

}  // namespace

OperatorsSettings OperatorsSettingsFromFlags() {
  return {.address = FLAGS_operators_address, .token = FLAGS_operators_token};
}

Result<void> CheckSettings(const OperatorsSettings& settings) {
  if (settings.token.size() < kMinTokenBytes) {
    return Error{.code = ErrorCode::kInvalidArgument,
                 .step = "check settings",
                 .message = "--operators_token has " +
                            std::to_string(settings.token.size()) +
                            " bytes, allowed are at least " +
                            std::to_string(kMinTokenBytes)};
  }
  return CheckListenAddress("operators_address", settings.address);
}

}  // namespace flamingogauge
