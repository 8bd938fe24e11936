#ifndef FLAMINGOGAUGE_PLUGINS_PEERS_TRAFFIC_H_
#define FLAMINGOGAUGE_PLUGINS_PEERS_TRAFFIC_H_

#include <kj/async-io.h>

#include <cstdint>
#include <set>

namespace flamingogauge {

// Traffic of TCP connections, from the kernel's TCP_INFO: payload bytes with
// retransmissions, and segments, each of which has some 52 bytes of headers.
struct Traffic {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t segments_sent = 0;
  std::uint64_t segments_received = 0;
};

Traffic operator+(const Traffic& a, const Traffic& b);

// Reads the counters of one connection; zeros when it is not a TCP connection.
Traffic ReadTraffic(kj::AsyncIoStream& stream);

// Sums over all connections of this host, open and closed. Used on the peers
// thread only.
class TrafficMeter {
 public:
  void Add(kj::AsyncIoStream* stream) { open_.insert(stream); }
  // Call before the stream is destroyed.
  void Remove(kj::AsyncIoStream* stream);
  Traffic Total() const;
  std::size_t OpenConnections() const { return open_.size(); }

 private:
  std::set<kj::AsyncIoStream*> open_;
  Traffic closed_;
};

// A stream that is registered with a meter during its lifetime.
class MeteredStream {
 public:
  MeteredStream(kj::Own<kj::AsyncIoStream> stream, TrafficMeter& meter);
  MeteredStream(const MeteredStream&) = delete;
  MeteredStream& operator=(const MeteredStream&) = delete;
  ~MeteredStream();

  kj::AsyncIoStream& operator*() { return *stream_; }

 private:
  kj::Own<kj::AsyncIoStream> stream_;
  TrafficMeter& meter_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_PEERS_TRAFFIC_H_
