#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "wasabiwall/state/key_value.h"

namespace wasabiwall::transport {

/// Options of the client of the key-value service.
struct KeyValueClientOptions {
  std::string url;
  std::chrono::milliseconds connect_timeout{500};
  std::chrono::milliseconds call_timeout{2000};
};

/// Speaks the published JSON interface of etcd v3 over HTTP.
class KeyValueClient {
 public:
  explicit KeyValueClient(KeyValueClientOptions options);

  /// @return The calls as hooks; they stay valid after this object is gone.
  state::KeyValueStore Store() const;

  /// @return Calls sent so far; a watch counts as one.
  std::int64_t Calls() const;

 private:
  class Connection;
  std::shared_ptr<Connection> m_connection;
};

}  // namespace wasabiwall::transport
