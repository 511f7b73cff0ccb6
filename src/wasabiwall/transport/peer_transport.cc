#include "wasabiwall/transport/peer_transport.h"

#include <thrift/TConfiguration.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>

namespace wasabiwall::transport {
namespace {

constexpr std::uint32_t kBufferBytes = 8192;
constexpr int kMaxMessageBytes = 80 << 20;

}  // namespace

std::shared_ptr<apache::thrift::transport::TTransport> BufferedTransport(
    const std::shared_ptr<apache::thrift::transport::TTransport>& socket) {
  return std::make_shared<apache::thrift::transport::TBufferedTransport>(
      socket, kBufferBytes, kBufferBytes,
      std::make_shared<apache::thrift::TConfiguration>(kMaxMessageBytes));
}

}  // namespace wasabiwall::transport
