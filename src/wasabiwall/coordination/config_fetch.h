#pragma once

#include <cstddef>
#include <cstdint>

#include "wasabiwall/protocol/gen/wasabiwall_types.h"
#include "wasabiwall/state/config_store.h"

namespace wasabiwall::coordination {

/// Default size limit of the items in one reply, in bytes.
inline constexpr std::size_t kMaxItemsReplyBytes = 128UL << 10;

/// Builds a reply with the items newer than those of the requesting process.
/// @param max_bytes Size limit of the items; the rest needs further requests.
protocol::gen::ItemsReply BuildItemsReply(
    const state::ConfigStore& config,
    const protocol::gen::ItemsRequest& request,
    std::size_t max_bytes = kMaxItemsReplyBytes);

/// Fetches the items newer than the local ones from one peer, page by page.
/// The local revision advances only after the last reply, to the complete
/// revision that the peer reported in its first reply; no item up to it is
/// missing then.
class ConfigFetch {
 public:
  /// @param config Local configuration, which receives the items; the fetch
  /// starts from its revision. Must outlive this object.
  explicit ConfigFetch(state::ConfigStore* config);

  /// @return The next request, without its envelope.
  protocol::gen::ItemsRequest NextRequest() const;

  /// Applies the items of the reply to the last request.
  /// @return Whether another request is needed.
  bool OnReply(const protocol::gen::ItemsReply& reply);

 private:
  state::ConfigStore* m_config;
  protocol::gen::ItemsRequest m_next_request;
  bool m_is_first_reply = true;
  std::int64_t m_complete_revision = 0;
};

}  // namespace wasabiwall::coordination
