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
  }
  if (!is_new) return;
  m_order.push_back(crash);
  if (m_order.size() <= m_max_crashes) return;
  m_beliefs.erase(m_order.front());
  m_order.pop_front();
}

bool CrashExplanations::Withdraw(std::uint64_t cause) {
  bool had_any = false;
  for (auto& [crash, beliefs] : m_beliefs) {
    had_any |= std::erase_if(beliefs, [cause](const Belief& belief) {
                 return belief.cause == cause;
               }) > 0;
  }
  if (!had_any) return false;
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

std::size_t CrashExplanations::CountOf(std::uint64_t cause,
                                       TimePoint now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(m_beliefs, [&](const auto& entry) {
        return std::ranges::any_of(entry.second, [&](const Belief& belief) {
          return belief.cause == cause && now < belief.until;
        });
      }));
}

}  // namespace wasabiwall::quarantine
