#include "wasabiwall/quarantine/crash_explanations.h"

#include <algorithm>

namespace wasabiwall::quarantine {

using coordination::TimePoint;

void CrashExplanations::Add(std::int64_t crash, std::uint64_t cause,
                            TimePoint until) {
  auto [entry, is_new] = m_beliefs.try_emplace(crash);
  std::vector<Belief>& beliefs = entry->second;
  const auto known = std::ranges::find(beliefs, cause, &Belief::cause);
  if (known != beliefs.end()) {
    known->until = std::max(known->until, until);
  } else {
    beliefs.push_back({cause, until});
    ++m_counts[cause];
  }
  if (!is_new) return;
  m_order.push_back(crash);
  if (m_order.size() <= m_max_crashes) return;
  Forget(m_order.front());
  m_order.pop_front();
}

void CrashExplanations::Forget(std::int64_t crash) {
  const auto found = m_beliefs.find(crash);
  if (found == m_beliefs.end()) return;
  for (const Belief& belief : found->second) {
    if (--m_counts[belief.cause] == 0) m_counts.erase(belief.cause);
  }
  m_beliefs.erase(found);
}

bool CrashExplanations::Withdraw(std::uint64_t cause) {
  if (m_counts.erase(cause) == 0) return false;
  for (auto& [crash, beliefs] : m_beliefs) {
    std::erase_if(beliefs, [cause](const Belief& belief) {
      return belief.cause == cause;
    });
  }
  std::erase_if(m_beliefs,
                [](const auto& entry) { return entry.second.empty(); });
  std::erase_if(m_order, [this](std::int64_t crash) {
    return !m_beliefs.contains(crash);
  });
  return true;
}

bool CrashExplanations::Contains(std::int64_t crash, TimePoint now) const {
  const auto found = m_beliefs.find(crash);
  return found != m_beliefs.end() &&
         std::ranges::any_of(found->second, [now](const Belief& belief) {
           return now < belief.until;
         });
}

std::vector<std::uint64_t> CrashExplanations::CausesOf(std::int64_t crash,
                                                       TimePoint now) const {
  std::vector<std::uint64_t> causes;
  const auto found = m_beliefs.find(crash);
  if (found == m_beliefs.end()) return causes;
  for (const Belief& belief : found->second) {
    if (now < belief.until) causes.push_back(belief.cause);
  }
  return causes;
}

std::vector<std::int64_t> CrashExplanations::CrashesOf(std::uint64_t cause,
                                                       std::size_t most) const {
  std::vector<std::int64_t> crashes;
  for (auto crash = m_order.rbegin();
       crash != m_order.rend() && crashes.size() < most; ++crash) {
    const auto& beliefs = m_beliefs.at(*crash);
    if (std::ranges::find(beliefs, cause, &Belief::cause) != beliefs.end()) {
      crashes.push_back(*crash);
    }
  }
  std::ranges::reverse(crashes);
  return crashes;
}

std::size_t CrashExplanations::CountOf(std::uint64_t cause) const {
  const auto found = m_counts.find(cause);
  return found == m_counts.end() ? 0 : found->second;
}

}  // namespace wasabiwall::quarantine
