#pragma once

#include <cstddef>
#include <cstdint>

#include "wasabiwall/protocol/gen/wasabiwall_types.h"
#include "wasabiwall/state/config_store.h"

namespace wasabiwall::coordination {

/// Largest sum of items in one reply, in bytes.
inline constexpr std::size_t kMaxItemsReplyBytes = 128UL << 10;

/// Answers another process with the items newer than its own.
/// @param max_bytes Bound of the reply; what is left out follows on request.
protocol::gen::ItemsReply BuildItemsReply(
    const state::ConfigStore& config,
    const protocol::gen::ItemsRequest& request,
    std::size_t max_bytes = kMaxItemsReplyBytes);

/// Fetches from one process the items newer than the own ones, in as many
/// replies as needed. The own revision advances only when the last reply is in:
/// then nothing is left out up to the revision that the other process had
/// completely at the first reply.
class ConfigFetch {
 public:
  /// @param config Receives the items; starts from its revision.
  explicit ConfigFetch(state::ConfigStore* config);

  /// @return The next request, without envelope.
  protocol::gen::ItemsRequest NextRequest() const;

  /// Takes a reply to the last request.
  /// @return Whether another request is needed.
  bool OnReply(const protocol::gen::ItemsReply& reply);

 private:
  state::ConfigStore* m_config;
  protocol::gen::ItemsRequest m_next;
  bool m_first = true;
  std::int64_t m_complete_revision = 0;
};

}  // namespace wasabiwall::coordination
