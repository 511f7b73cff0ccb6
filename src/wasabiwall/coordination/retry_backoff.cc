#include "wasabiwall/coordination/retry_backoff.h"

#include <algorithm>
#include <utility>

namespace wasabiwall::coordination {
namespace {

constexpr int kMostDoublings = 10;

}  // namespace

RetryBackoff::RetryBackoff(std::chrono::milliseconds first,
                           std::chrono::milliseconds longest, RandomHook random)
    : m_first(first), m_longest(longest), m_random(std::move(random)) {}

std::chrono::milliseconds RetryBackoff::Next() {
  const int doublings = std::min(m_failures++, kMostDoublings);
  const auto step = std::min(m_first * (1 << doublings), m_longest);
  const auto spread = static_cast<std::uint64_t>(step.count() / 2);
  return step - std::chrono::milliseconds(m_random() % (spread + 1));
}

}  // namespace wasabiwall::coordination
