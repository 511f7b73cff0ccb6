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
  /// Deadline of a call with all its tries.
  std::chrono::milliseconds call_timeout{2000};
  /// Longest wait before a read is tried again; the wait is drawn at random.
  std::chrono::milliseconds retry_wait{100};
  int max_read_tries = 3;
};

/// Speaks the published JSON interface of etcd v3 over HTTP. Reads are tried
/// again within a budget and the deadline; writes are sent once, because only
/// their caller knows how to recognise an effect. A transaction above the
/// limits of the service is refused without a call.
class KeyValueClient {
 public:
  explicit KeyValueClient(KeyValueClientOptions options);

  /// @return The calls as hooks; they stay valid after this object is gone.
  state::KeyValueStore Store() const;

  /// @return Calls sent so far, tries included; a watch counts as one.
  std::int64_t Calls() const;

 private:
  class Connection;
  std::shared_ptr<Connection> m_connection;
};

}  // namespace wasabiwall::transport
