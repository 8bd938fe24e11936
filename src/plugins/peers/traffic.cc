#include "plugins/peers/traffic.h"

#include <linux/tcp.h>
#include <netinet/in.h>

#include <utility>

namespace flamingogauge {

Traffic operator+(const Traffic& a, const Traffic& b) {
  return {.bytes_sent = a.bytes_sent + b.bytes_sent,
          .bytes_received = a.bytes_received + b.bytes_received,
          .segments_sent = a.segments_sent + b.segments_sent,
          .segments_received = a.segments_received + b.segments_received};
}

Traffic ReadTraffic(kj::AsyncIoStream& stream) {
  tcp_info info{};
  kj::uint length = sizeof(info);
  try {
    stream.getsockopt(IPPROTO_TCP, TCP_INFO, &info, &length);
  } catch (const kj::Exception&) {
    return {};
  }
  return {.bytes_sent = info.tcpi_bytes_sent,
          .bytes_received = info.tcpi_bytes_received,
          .segments_sent = info.tcpi_segs_out,
          .segments_received = info.tcpi_segs_in};
}

void TrafficMeter::Remove(kj::AsyncIoStream* stream) {
  closed_ = closed_ + ReadTraffic(*stream);
  open_.erase(stream);
}

Traffic TrafficMeter::Total() const {
  Traffic total = closed_;
  for (kj::AsyncIoStream* it : open_) {
    total = total + ReadTraffic(*it);
  }
  return total;
}

MeteredStream::MeteredStream(kj::Own<kj::AsyncIoStream> stream,
                             TrafficMeter& meter)
    : stream_(kj::mv(stream)), meter_(meter) {
  meter_.Add(stream_.get());
}

MeteredStream::~MeteredStream() {
  meter_.Remove(stream_.get());
}

}  // namespace flamingogauge
