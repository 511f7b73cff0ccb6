#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace wasabiwall::bench {

/// Prefix cache of an engine: whole chats, least recently used goes first.
class PrefixCache {
 public:
  explicit PrefixCache(std::int64_t capacity_tokens)
      : m_capacity_tokens(capacity_tokens) {}

  /// @return Tokens of the chat that are cached.
  std::int64_t Tokens(const std::string& chat) const;

  void Put(const std::string& chat, std::int64_t tokens);
  void Clear();

 private:
  struct Entry {
    std::string chat;
    std::int64_t tokens;
  };

  void Erase(const std::string& chat);

  std::int64_t m_capacity_tokens;
  std::int64_t m_tokens = 0;
  std::list<Entry> m_order;
  std::unordered_map<std::string, std::list<Entry>::iterator> m_entries;
};

}  // namespace wasabiwall::bench
