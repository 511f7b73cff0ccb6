#include "routing/prefix_cache.h"

namespace wasabiwall::bench {

std::int64_t PrefixCache::Tokens(const std::string& chat) const {
  const auto found = m_entries.find(chat);
  return found == m_entries.end() ? 0 : found->second->tokens;
}

void PrefixCache::Put(const std::string& chat, std::int64_t tokens) {
  Erase(chat);
  m_order.push_front({chat, tokens});
  m_entries[chat] = m_order.begin();
  m_tokens += tokens;
  while (m_tokens > m_capacity_tokens) {
    Erase(std::string(m_order.back().chat));
  }
}

void PrefixCache::Clear() {
  m_entries.clear();
  m_order.clear();
  m_tokens = 0;
}

void PrefixCache::Erase(const std::string& chat) {
  const auto found = m_entries.find(chat);
  if (found == m_entries.end()) return;
  m_tokens -= found->second->tokens;
  m_order.erase(found->second);
  m_entries.erase(found);
}

}  // namespace wasabiwall::bench
