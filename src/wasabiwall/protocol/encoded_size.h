#pragma once

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <memory>

namespace wasabiwall::protocol {

/// @return Bytes of a generated structure in the encoding between processes.
template <typename Structure>
std::int64_t EncodedSize(const Structure& structure) {
  const auto buffer =
      std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocol encoder(buffer);
  return structure.write(&encoder);
}

}  // namespace wasabiwall::protocol
