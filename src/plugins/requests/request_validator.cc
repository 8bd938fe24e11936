#include "plugins/requests/request_validator.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "libs/digest/sha256.h"
#include "libs/requests/prefix_hashes.h"
#include "plugins/requests/chat_body.h"

namespace flamingogauge {
namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicesPrefix = "/v1/services/";
constexpr std::size_t kMaxKeyBytes = 200;

template <typename Spec>
const Spec* FindById(const std::vector<Spec>& specs, const std::string& id) {
  const auto found =
      std::find_if(specs.begin(), specs.end(),
                   [&id](const Spec& it) { return it.id == id; });
  return found == specs.end() ? nullptr : &*found;
}

template <typename Spec>
std::string NamesOf(const std::vector<Spec>& specs) {
  constexpr std::size_t kMaxNames = 10;
  std::string text;
  for (std::size_t it = 0; it < std::min(specs.size(), kMaxNames); ++it) {
    if constexpr (std::is_same_v<Spec, TierSpec>) {
      text += (it == 0 ? "" : ", ") + specs[it].name;
    } else {
      text += (it == 0 ? "" : ", ") + specs[it].id;
    }
  }
  return text.empty() ? "none" : text;
}

class Validator {
 public:
  Validator(const Document& document,
            const RequestId& id,
            CallerRequest request,
            MonotonicTime now)
      : document_(document), request_(std::move(request)) {
    valid_.spec.id = id;
    valid_.spec.accepted_at = now;
    valid_.spec.idempotency_key = request_.idempotency_key;
  }

  std::variant<ValidRequest, Refusal> Run() {
    if (!CheckRequest()) {
      refusal_->run_status = request_.idempotency_key.empty()
                                 ? RunStatus::kNotRun
                                 : RunStatus::kAttemptNotRun;
      return *refusal_;
    }
    return std::move(valid_);
  }

 private:
  bool Refuse(RefusalKind kind, std::string message) {
    refusal_ = Refusal{.kind = kind, .message = std::move(message)};
    return false;
  }

  bool CheckRequest() {
    if (!CheckWorkspace()) {
      return false;
    }
    if (request_.idempotency_key.size() > kMaxKeyBytes) {
      return Refuse(RefusalKind::kInvalidRequest,
                    "Idempotency-Key has " +
                        std::to_string(request_.idempotency_key.size()) +
                        " bytes, allowed are at most " +
                        std::to_string(kMaxKeyBytes));
    }
    if (request_.path == kChatPath) {
      return CheckChat();
    }
    if (request_.path.rfind(kServicesPrefix, 0) == 0) {
      return CheckService();
    }
    return Refuse(RefusalKind::kNotFound,
                  "path " + request_.path +
                      " is unknown, allowed are /v1/chat/completions and "
                      "/v1/services/<service>/<path>");
  }

  bool CheckWorkspace() {
    if (request_.bearer_key.empty()) {
      return Refuse(RefusalKind::kUnauthenticated,
                    "the header Authorization: Bearer <key> is missing");
    }
    const auto found =
        document_.workspace_by_key_hash.find(Sha256Hex(request_.bearer_key));
    if (found == document_.workspace_by_key_hash.end()) {
      return Refuse(RefusalKind::kUnauthenticated,
                    "the bearer key belongs to no workspace");
    }
    workspace_ = &document_.workspaces[found->second];
    valid_.spec.workspace = workspace_->id;
    return true;
  }

  bool ResolveTier(const std::string& name) {
    Tier tier = workspace_->default_tier;
    if (!name.empty()) {
      const auto found =
          std::find_if(document_.tiers.begin(), document_.tiers.end(),
                       [&name](const TierSpec& it) { return it.name == name; });
      if (found == document_.tiers.end()) {
        return Refuse(RefusalKind::kInvalidRequest,
                      "tier " + name + " is unknown, allowed are " +
                          NamesOf(document_.tiers));
      }
      tier = static_cast<Tier>(found - document_.tiers.begin());
    }
    tier = std::max(tier, workspace_->highest_tier);
    if (tier >= document_.tiers.size()) {
      return Refuse(RefusalKind::kUnavailable,
                    "the document has no tier " + std::to_string(tier));
    }
    const TierSpec& spec = document_.tiers[tier];
    valid_.spec.tier = tier;
    valid_.spec.deadline = valid_.spec.accepted_at + spec.deadline;
    valid_.tier_name = spec.name;
    valid_.first_token_target = spec.first_token_target;
    return true;
  }

  bool CheckChat() {
    if (request_.method != "POST") {
      return Refuse(RefusalKind::kInvalidRequest,
                    "method " + request_.method + ", allowed is POST");
    }
    Result<ChatBody> parsed = ParseChatBody(request_.body);
    if (!parsed) {
      return Refuse(RefusalKind::kInvalidRequest, parsed.error().message);
    }
    ChatBody& chat = parsed.value();
    const ModelSpec* model = FindById(document_.models, chat.model);
    if (model == nullptr) {
      return Refuse(RefusalKind::kNotFound, "model " + chat.model +
                                                " is unknown, allowed are " +
                                                NamesOf(document_.models));
    }
    if (!ResolveTier(request_.tier.empty() ? chat.tier : request_.tier)) {
      return false;
    }
    RequestSpec& spec = valid_.spec;
    spec.prompt_tokens = EstimateTokens(chat.prompt);
    spec.max_output_tokens = chat.max_tokens;
    if (spec.prompt_tokens > model->max_context_tokens) {
      return Refuse(RefusalKind::kTooLarge,
                    "the prompt has about " +
                        std::to_string(spec.prompt_tokens) + " tokens, model " +
                        model->id + " allows " +
                        std::to_string(model->max_context_tokens));
    }
    spec.target = chat.model;
    spec.response_mode =
        chat.stream ? ResponseMode::kStream : ResponseMode::kBuffered;
    spec.fingerprint = ComputeFingerprint(chat.model, chat.canonical);
    spec.prefix_hashes = ComputePrefixHashes(chat.prompt);
    valid_.method = "POST";
    valid_.path = kChatPath;
    valid_.headers = {{.name = "Content-Type", .value = "application/json"}};
    valid_.body = std::move(chat.engine_body);
    return true;
  }

  bool CheckService() {
    const std::string rest = request_.path.substr(kServicesPrefix.size());
    const std::string name = rest.substr(0, rest.find('/'));
    const ServiceSpec* service = FindById(document_.services, name);
    if (service == nullptr) {
      return Refuse(RefusalKind::kNotFound, "service " + name +
                                                " is unknown, allowed are " +
                                                NamesOf(document_.services));
    }
    if (request_.method != "GET" && request_.method != "POST") {
      return Refuse(RefusalKind::kInvalidRequest,
                    "method " + request_.method + ", allowed are GET and POST");
    }
    const auto& repeatable = service->idempotent_methods;
    const bool idempotent = std::find(repeatable.begin(), repeatable.end(),
                                      request_.method) != repeatable.end();
    if (!idempotent && request_.idempotency_key.empty()) {
      return Refuse(RefusalKind::kInvalidRequest,
                    request_.method + " of service " + name +
                        " must not run twice and needs the header "
                        "Idempotency-Key");
    }
    if (!ResolveTier(request_.tier)) {
      return false;
    }
    FillService(*service, rest.substr(name.size()), idempotent);
    return true;
  }

  void FillService(const ServiceSpec& service,
                   const std::string& path,
                   bool idempotent) {
    RequestSpec& spec = valid_.spec;
    spec.target = service.id;
    spec.response_mode = ResponseMode::kService;
    spec.needs_claim = !idempotent;
    spec.deadline =
        std::min(spec.deadline, spec.accepted_at + service.time_limit);
    valid_.method = request_.method;
    valid_.path = path.empty() ? "/" : path;
    if (!request_.query.empty()) {
      valid_.path += "?" + request_.query;
    }
    spec.fingerprint = ComputeFingerprint(
        service.id, request_.method + " " + valid_.path + "\n" + request_.body);
    if (!request_.content_type.empty()) {
      valid_.headers.push_back(
          {.name = "Content-Type", .value = request_.content_type});
    }
    if (!request_.idempotency_key.empty()) {
      valid_.headers.push_back(
          {.name = "Idempotency-Key", .value = request_.idempotency_key});
    }
    valid_.body = std::move(request_.body);
  }

  const Document& document_;
  CallerRequest request_;
  const WorkspaceSpec* workspace_ = nullptr;
  ValidRequest valid_;
  std::optional<Refusal> refusal_;
};

}  // namespace

std::variant<ValidRequest, Refusal> ValidateRequest(const Document& document,
                                                    const RequestId& id,
                                                    CallerRequest request,
                                                    MonotonicTime now) {
  return Validator(document, id, std::move(request), now).Run();
}

}  // namespace flamingogauge
