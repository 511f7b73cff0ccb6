#include "wasabiwall/transport/byte_budget.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace wasabiwall::transport {
namespace {

/// Bytes by which a buffer that may grow again usually does, with one read.
constexpr std::size_t kReadBytes = 64U << 10U;

std::size_t Difference(std::size_t limit, std::size_t used) {
  return limit > used ? limit - used : 0;
}

}  // namespace

void ByteBudget::Share::Reset(const std::string& group) {
  Resize(0);
  m_group = group;
}

bool ByteBudget::Share::Resize(std::size_t size) {
  if (std::exchange(m_on_room, nullptr)) std::erase(m_budget->m_waiting, this);
  const bool has_shrunk = size < m_size;
  if (size != m_size) {
    Group& group = m_budget->m_groups[m_group];
    m_budget->m_used = m_budget->m_used - m_size + size;
    group.used = group.used - m_size + size;
    group.shares.insert(this);
    if (size == 0) group.shares.erase(this);
    if (has_shrunk && group.exceeding == this) group.exceeding = nullptr;
    if (group.shares.empty()) m_budget->m_groups.erase(m_group);
    m_size = size;
  }
  if (has_shrunk) m_budget->WakeWaiting();
  return m_budget->MayGrow(*this);
}

void ByteBudget::Share::WaitForRoom(std::function<void()> on_room) {
  if (!m_on_room) m_budget->m_waiting.push_back(this);
  m_on_room = std::move(on_room);
}

std::size_t ByteBudget::RoomOf(const std::string& group) const {
  const auto found = m_groups.find(group);
  const std::size_t used = found == m_groups.end() ? 0 : found->second.used;
  return std::min(Difference(m_limits.group, used),
                  Difference(m_limits.total, m_used));
}

bool ByteBudget::IsLargest(const Share& share) const {
  const auto group = m_groups.find(share.m_group);
  return group == m_groups.end() ||
         std::ranges::all_of(group->second.shares, [&](const Share* other) {
           // Of equal ones only one counts as the largest.
           return std::pair(other->m_size, other) <=
                  std::pair(share.m_size, &share);
         });
}

bool ByteBudget::MayExceed(const Share& share) {
  const auto group = m_groups.find(share.m_group);
  if (group == m_groups.end()) return true;
  const Share*& exceeding = group->second.exceeding;
  if (exceeding == nullptr && IsLargest(share)) exceeding = &share;
  return exceeding == &share;
}

bool ByteBudget::MayGrow(const Share& share) {
  return share.m_size <= m_limits.free_size || RoomOf(share.m_group) > 0 ||
         (m_used < m_limits.total + m_limits.group && MayExceed(share));
}

void ByteBudget::WakeWaiting() {
  std::size_t total = Difference(m_limits.total, m_used);
  std::unordered_map<std::string, std::size_t> rooms;
  std::vector<std::function<void()>> woken;
  std::erase_if(m_waiting, [&](Share* share) {
    const auto [room, is_new] = rooms.try_emplace(share->m_group, 0);
    if (is_new) room->second = RoomOf(share->m_group);
    if (total >= kReadBytes && room->second >= kReadBytes) {
      total -= kReadBytes;
      room->second -= kReadBytes;
    } else if (!MayGrow(*share) || !MayExceed(*share)) {
      return false;
    }
    woken.push_back(std::exchange(share->m_on_room, nullptr));
    return true;
  });
  for (const auto& on_room : woken) on_room();
}

}  // namespace wasabiwall::transport
