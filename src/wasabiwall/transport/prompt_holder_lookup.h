#pragma once

#include <functional>
#include <optional>
#include <string>

#include "wasabiwall/transport/gateway_context.h"

namespace wasabiwall::transport {

/// Asks other gateways, for one call, which backend servers have its prompt
/// cached.
class PromptHolderLookup {
 public:
  explicit PromptHolderLookup(GatewayContext* context);
  ~PromptHolderLookup();
  PromptHolderLookup(const PromptHolderLookup&) = delete;
  PromptHolderLookup& operator=(const PromptHolderLookup&) = delete;

  /// Asks if this gateway knows no holder.
  /// @param call_id Identifier of the call in logs.
  /// @param on_done Called after the replies or a timeout.
  /// @return Whether it asked.
  bool Start(const coordination::PlacementQuery& query, std::string call_id,
             std::function<void()> on_done);

  /// Abandons the lookup, if there is one.
  void Cancel();

 private:
  void OnDone(const char* outcome);

  GatewayContext* m_context;
  Timer m_timer;
  std::optional<coordination::PromptDirectory::LookupId> m_lookup;
  coordination::PlacementQuery m_query;
  std::string m_call_id;
  std::function<void()> m_on_done;
  coordination::TimePoint m_started_at;
};

}  // namespace wasabiwall::transport
