#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_EXCHANGE_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_EXCHANGE_H_

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/dispatching/dispatcher.h"
#include "libs/http_framing/event_stream_splitter.h"
#include "libs/http_framing/http_request_reader.h"
#include "libs/kernel/event_log.h"
#include "libs/routing/routing_table.h"
#include "plugins/gateway/http_session.h"
#include "plugins/gateway/relay_context.h"
#include "plugins/gateway/upstream_connection.h"

namespace flamingogauge {

// The outcome of a request whose upstream's whole answer was passed on.
inline constexpr char kAnswered[] = "answered";

// A request that was accepted, with what was decided on arrival.
struct AcceptedRequest {
  std::uint64_t id = 0;
  ParsedRequest request;
  MonotonicTime arrived_at;
  // Keeps `route` and `workspace` alive.
  std::shared_ptr<const RoutingTable> routing;
  const Route* route = nullptr;
  // Null on anonymous routes.
  const WorkspaceEntry* workspace = nullptr;
  std::string service;
  std::string request_id;
  // When the caller's patience or the route's timeout ends.
  MonotonicTime deadline;
  double prompt_tokens = 0;
  double output_tokens = 0;
  // The caller's estimate; 0 when it gave none.
  double expected_output_tokens = 0;
  // When the answer, or a stream's first event, is late.
  MonotonicTime due_at;
  std::vector<PromptPart> prompt_parts;
  // What was spent of the workspace's limit.
  double spent = 0;
  // Identifies the request when its caller sends it again.
  std::uint64_t fingerprint = 0;
};

// The life of one request: it waits for a placement, is sent to an upstream,
// and its answer goes back to the caller. It is sent again only if nothing ran,
// or if it may run again.
class Exchange : public UpstreamAnswerObserver,
                 public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(RelayContext& context,
           std::shared_ptr<HttpSession> session,
           AcceptedRequest accepted,
           std::function<void(std::uint64_t)> on_done);
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void Start();
  // The dispatcher has chosen an upstream.
  void SendTo(const UpstreamEntry& upstream);
  // Refuses a request that has not run.
  void Refuse(int status,
              std::optional<std::chrono::milliseconds> retry_after,
              const std::string& reason);
  // The process ends; breaks off what is still in progress.
  void BreakOff();

  const std::string& request_id() const { return accepted_.request_id; }
  // For the state dump.
  std::string Describe(MonotonicTime now) const;

  void OnHead(const HttpResponseReader& reader) override;
  void OnBody(std::string part) override;
  void OnComplete() override;
  void OnBroken(UpstreamBreak where, const std::string& reason) override;

 private:
  enum class State { kWaiting, kSent, kDone };

  void Enqueue();
  bool KeyIsValid() const;
  std::string ComposeRequest(const UpstreamEntry& upstream,
                             MonotonicTime now) const;
  void OnDeadline();
  void OnCallerGone();
  void EndDispatch(DispatchResult result);
  bool TryAgain(bool has_run, const std::string& reason);
  void FailAfterSend(int status, const std::string& reason);
  void OnNotExecuted();
  bool IsStream() const;
  void CommitHead(std::optional<std::uint64_t> length);
  void CommitBuffered();
  void WriteBody(std::string part);
  void ForwardStreamPart(std::string part);
  void MeasureEvents(const std::string& part, MonotonicTime now);
  void ReportPace(MonotonicTime now);
  void Answer(int status, std::optional<std::chrono::milliseconds> retry_after);
  void Done(const std::string& outcome, int status, const std::string& reason);
  bool KeepsConnection() const;

  RelayContext& context_;
  std::shared_ptr<HttpSession> session_;
  AcceptedRequest accepted_;
  std::function<void(std::uint64_t)> on_done_;
  boost::asio::steady_timer deadline_timer_;
  State state_ = State::kWaiting;

  std::shared_ptr<UpstreamConnection> connection_;
  UpstreamEntry upstream_;
  int sends_ = 0;
  std::vector<std::string> tried_upstreams_;
  MonotonicTime first_sent_at_;
  MonotonicTime sent_at_;

  // The answer in progress.
  HttpResponseHead head_;
  bool head_received_ = false;
  bool not_executed_ = false;
  // True once a send has ended without proof that nothing ran.
  bool may_have_run_ = false;
  // The answer's length and whether it has a body, from its head.
  std::optional<std::uint64_t> content_length_;
  bool has_body_ = true;
  std::string buffered_;
  // True once the head has been written to the caller.
  bool committed_ = false;
  bool chunked_ = false;
  bool until_close_ = false;
  EventStreamSplitter splitter_;
  MonotonicTime first_body_at_;
  MonotonicTime last_body_at_;
  std::size_t events_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_EXCHANGE_H_
