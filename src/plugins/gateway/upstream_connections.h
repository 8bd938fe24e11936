#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_UPSTREAM_CONNECTIONS_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_UPSTREAM_CONNECTIONS_H_

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "plugins/gateway/connect_probe.h"
#include "plugins/gateway/upstream_connection.h"

namespace flamingogauge {

// A pool of idle connections to upstreams.
class UpstreamConnections {
 public:
  UpstreamConnections(boost::asio::io_context& context,
                      std::string request_id_header);

  // Returns an idle connection to `address`, or creates one. A connection that
  // carried a request with this id is not reused for it: a response that the
  // upstream writes twice could not be told from the next one.
  std::shared_ptr<UpstreamConnection> Acquire(const std::string& address,
                                              const std::string& request_id,
                                              MonotonicTime now);
  // Closes idle connections whose keep-alive time has passed.
  void CloseExpired(MonotonicTime now);
  // Closes idle connections to addresses not in `addresses`.
  void CloseOthers(const std::set<std::string>& addresses);

  // Finds out whether the upstream still accepts connections. Probes of an
  // address at the same time share one connection.
  void Probe(const std::string& address, ConnectProbe::Handler handler);

  std::uint64_t opened() const { return opened_; }

 private:
  void Release(const std::shared_ptr<UpstreamConnection>& connection);

  boost::asio::io_context& context_;
  const std::string request_id_header_;
  std::map<std::string, std::vector<std::shared_ptr<UpstreamConnection>>> idle_;
  // The handlers of the probes in progress, by address.
  std::map<std::string, std::vector<ConnectProbe::Handler>> probes_;
  std::uint64_t opened_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_UPSTREAM_CONNECTIONS_H_
