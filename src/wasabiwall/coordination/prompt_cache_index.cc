#include "wasabiwall/coordination/prompt_cache_index.h"

#include <algorithm>

namespace wasabiwall::coordination {
namespace {

/// Holders kept for each part.
constexpr std::size_t kMaxHolders = 4;
/// Time after which an engine is assumed to have evicted the part.
constexpr std::chrono::seconds kRetention{120};

}  // namespace

void PromptCacheIndex::OnRead(std::uint64_t part,
                              const state::BackendServerId& holder,
                              TimePoint now) {
  const auto found = m_by_key.find(part);
  if (found != m_by_key.end()) {
    m_parts.splice(m_parts.begin(), m_parts, found->second);
  } else {
    m_parts.push_front({part, {}});
    m_by_key[part] = m_parts.begin();
    if (m_parts.size() > m_capacity) {
      m_by_key.erase(m_parts.back().key);
      m_parts.pop_back();
    }
  }
  auto& holders = m_parts.front().holders;
  std::erase_if(holders, [&](const Holder& h) { return h.id == holder; });
  holders.insert(holders.begin(), {holder, now});
  if (holders.size() > kMaxHolders) holders.pop_back();
}

bool PromptCacheIndex::IsHeldBy(std::uint64_t part,
                                const state::BackendServerId& id,
                                TimePoint now) const {
  const auto holders = Holders(part, now);
  return std::find(holders.begin(), holders.end(), id) != holders.end();
}

std::vector<state::BackendServerId> PromptCacheIndex::Holders(
    std::uint64_t part, TimePoint now) const {
  std::vector<state::BackendServerId> ids;
  const auto found = m_by_key.find(part);
  if (found == m_by_key.end()) return ids;
  for (const Holder& holder : found->second->holders) {
    if (now - holder.read_at < kRetention) ids.push_back(holder.id);
  }
  return ids;
}

}  // namespace wasabiwall::coordination
