#include "plugins/upstreams/upstreams_plugin.h"

#include <random>
#include <utility>

#include "libs/kernel/log.h"
#include "libs/services/document_source.h"
#include "plugins/upstreams/curl_upstream_client.h"
#include "plugins/upstreams/echo_upstream_client.h"

namespace flamingogauge {
namespace {

const Logger& Log() {
  static const Logger kLogger("upstreams");
  return kLogger;
}

}  // namespace

UpstreamsPlugin::UpstreamsPlugin(UpstreamsSettings settings)
    : settings_(std::move(settings)) {}

UpstreamsPlugin::~UpstreamsPlugin() = default;

Result<void> UpstreamsPlugin::Initialize(ServiceRegistry& registry) {
  const Result<void> checked = CheckUpstreamsSettings(settings_);
  if (!checked) {
    return checked.error();
  }
  if (settings_.echo) {
    echo_client_ = std::make_unique<EchoUpstreamClient>(settings_.max_calls);
    return registry.Register<UpstreamClient>(UpstreamClient::kServiceName,
                                             echo_client_.get());
  }
  curl_client_ =
      std::make_shared<CurlUpstreamClient>(settings_, std::random_device()());
  return registry.Register<UpstreamClient>(UpstreamClient::kServiceName,
                                           curl_client_.get());
}

Result<void> UpstreamsPlugin::ExtensionsInitialized(ServiceRegistry& registry) {
  if (!curl_client_) {
    Log().Info("echo mode: answering calls in this process without upstreams");
    return boost::outcome_v2::success();
  }
  const auto source =
      registry.Find<DocumentSource>(DocumentSource::kServiceName);
  if (!source) {
    Log().Warning("no document source is registered; engines are not polled");
    return boost::outcome_v2::success();
  }
  const std::weak_ptr<CurlUpstreamClient> weak = curl_client_;
  source.value()->Subscribe([weak](std::shared_ptr<const Document> document) {
    if (const auto client = weak.lock()) {
      client->SetDocument(std::move(document));
    }
  });
  return boost::outcome_v2::success();
}

void UpstreamsPlugin::AboutToShutdown(std::function<void()> done) {
  if (curl_client_) {
    curl_client_->Drain(std::move(done));
  } else {
    done();
  }
}

std::string UpstreamsPlugin::DumpState() const {
  return curl_client_ ? curl_client_->DumpState() : R"({"echo":true})";
}

}  // namespace flamingogauge
