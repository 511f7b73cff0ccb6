#pragma once

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <memory>

namespace wasabiwall::protocol {

/// @return Size in bytes of a generated structure in the Thrift compact
/// protocol that the processes use among themselves.
template <typename Structure>
std::int64_t EncodedSize(const Structure& structure) {
  const auto buffer =
      std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocol encoder(buffer);
  return structure.write(&encoder);
}

}  // namespace wasabiwall::protocol
