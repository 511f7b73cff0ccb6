#pragma once

#include <thrift/transport/TTransport.h>

#include <memory>

namespace wasabiwall::transport {

/// Buffers a socket between processes, so that a message costs one read and
/// one write; a message has a largest size.
std::shared_ptr<apache::thrift::transport::TTransport> BufferedTransport(
    const std::shared_ptr<apache::thrift::transport::TTransport>& socket);

/// Makes buffered transports for a server.
class BufferedTransportFactory
    : public apache::thrift::transport::TTransportFactory {
 public:
  std::shared_ptr<apache::thrift::transport::TTransport> getTransport(
      std::shared_ptr<apache::thrift::transport::TTransport> socket) override {
    return BufferedTransport(socket);
  }
};

}  // namespace wasabiwall::transport
