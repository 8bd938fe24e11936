#include "plugins/configuration/built_in_document.h"

#include "libs/document/document_json.h"

namespace flamingogauge {
namespace {

// SHA-256 of kBuiltInKey.
constexpr char kBuiltInKeyHash[] =
    "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c";

}  // namespace

std::string BuiltInDocument(std::string_view engine_address,
                            std::string_view data_centre) {
  const std::string name(data_centre);
  Document document;
  document.tiers = {{.name = "urgent",
                     .first_token_target = std::chrono::milliseconds(1000),
                     .deadline = std::chrono::milliseconds(60000)},
                    {.name = "normal",
                     .first_token_target = std::chrono::milliseconds(5000),
                     .deadline = std::chrono::milliseconds(120000)}};
  document.workspaces = {{.id = "demo",
                          .key_hashes = {kBuiltInKeyHash},
                          .default_tier = 1,
                          .highest_tier = 0}};
  document.models = {{.id = "echo"}};
  document.upstreams = {{.id = "echo-1",
                         .kind = UpstreamKind::kEngine,
                         .targets = {"echo"},
                         .data_centre = name,
                         .address = std::string(engine_address)}};
  document.data_centres = {{.id = name, .region = "local", .host_slots = 1}};
  return JoinSections(WriteSections(document));
}

}  // namespace flamingogauge
