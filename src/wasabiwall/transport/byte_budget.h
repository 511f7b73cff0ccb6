#pragma once

#include <cstddef>

namespace wasabiwall::transport {

/// Limits the bytes that all calls of a process buffer together. Used on one
/// event loop only.
class ByteBudget {
 public:
  explicit ByteBudget(std::size_t limit) : m_limit(limit) {}

  /// @return Bytes buffered now.
  std::size_t Used() const { return m_used; }

  /// The part of a budget that one buffer uses; returns it at its end.
  class Share {
   public:
    explicit Share(ByteBudget* budget) : m_budget(budget) {}
    ~Share() { Resize(0); }
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    /// Sets the size of the buffer.
    /// @return False if the budget is exceeded; the size counts all the same.
    bool Resize(std::size_t size) {
      m_budget->m_used = m_budget->m_used - m_size + size;
      m_size = size;
      return m_budget->m_used <= m_budget->m_limit;
    }

   private:
    ByteBudget* m_budget;
    std::size_t m_size = 0;
  };

 private:
  std::size_t m_limit;
  std::size_t m_used = 0;
};

}  // namespace wasabiwall::transport
