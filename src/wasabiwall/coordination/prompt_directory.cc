#include "wasabiwall/coordination/prompt_directory.h"

#include <algorithm>
#include <utility>

#include "wasabiwall/coordination/rendezvous_homes.h"
#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {
namespace {

/// With two homes, one remains while the other is restarted.
constexpr std::size_t kHomesPerPart = 2;
/// Time after which a holder in use is announced again, for homes that have
/// been restarted or have become a home in the meantime.
constexpr std::chrono::seconds kAnnouncePeriod{10};
/// Announcements kept to suppress repeated ones; all are dropped when the limit
/// is reached.
constexpr std::size_t kMaxAnnouncements = 20000;
/// Consecutive unanswered lookups after which a home is skipped; a single
/// datagram may be lost.
constexpr int kMaxUnansweredLookups = 2;
/// Time for which an unresponsive home is skipped. A restarted process is back
/// within about a second.
constexpr std::chrono::seconds kUnresponsiveBackoff{2};

}  // namespace

PromptDirectory::PromptDirectory(std::string own_name, PromptCacheIndex* index,
                                 SendHook send)
    : m_own_name(std::move(own_name)),
      m_index(index),
      m_send(std::move(send)) {}

std::vector<std::string> PromptDirectory::RemoteHomes(
    std::uint64_t part) const {
  std::vector<std::string> addresses;
  for (const std::string& name :
       RendezvousHomes(*m_members, part, kHomesPerPart)) {
    if (name != m_own_name) addresses.push_back(m_members->at(name));
  }
  return addresses;
}

void PromptDirectory::OnRead(std::uint64_t part,
                             const state::BackendServerId& holder,
                             TimePoint now) {
  m_index->OnRead(part, holder, now);
  if (m_announced.size() >= kMaxAnnouncements) m_announced.clear();
  const auto [entry, is_new] =
      m_announced.try_emplace(state::FastHash(holder.value, part), now);
  if (!is_new && now - entry->second < kAnnouncePeriod) return;
  entry->second = now;
  for (const std::string& home : RemoteHomes(part)) {
    m_send(home, {.kind = protocol::PromptDirectoryMessage::Kind::kAnnouncement,
                  .part = part,
                  .holders = {holder}});
  }
}

std::optional<PromptDirectory::LookupId> PromptDirectory::LookUp(
    std::uint64_t part, TimePoint now, std::function<void()> on_done) {
  std::vector<std::string> homes = RemoteHomes(part);
  std::erase_if(homes, [&](const std::string& home) {
    const auto unresponsive = m_unresponsive.find(home);
    return unresponsive != m_unresponsive.end() &&
           now < unresponsive->second.skipped_until;
  });
  if (homes.empty()) return std::nullopt;
  const LookupId id = m_next_lookup++;
  m_lookups[id] = {homes, std::move(on_done)};
  for (const std::string& home : homes) {
    m_send(home, {.kind = protocol::PromptDirectoryMessage::Kind::kLookup,
                  .lookup = id,
                  .part = part});
  }
  return id;
}

void PromptDirectory::OnLookupTimeout(LookupId id, TimePoint now) {
  const auto found = m_lookups.find(id);
  if (found == m_lookups.end()) return;
  for (const std::string& home : found->second.pending_homes) {
    Unresponsiveness& unresponsive = m_unresponsive[home];
    if (++unresponsive.unanswered_lookups >= kMaxUnansweredLookups) {
      unresponsive.skipped_until = now + kUnresponsiveBackoff;
    }
  }
  m_lookups.erase(found);
}

void PromptDirectory::OnMessage(const std::string& from,
                                const protocol::PromptDirectoryMessage& message,
                                TimePoint now) {
  m_unresponsive.erase(from);
  switch (message.kind) {
    case protocol::PromptDirectoryMessage::Kind::kAnnouncement:
      for (const auto& holder : message.holders) {
        m_index->OnRead(message.part, holder, now);
      }
      return;
    case protocol::PromptDirectoryMessage::Kind::kLookup:
      m_send(from, {.kind = protocol::PromptDirectoryMessage::Kind::kReply,
                    .lookup = message.lookup,
                    .part = message.part,
                    .holders = m_index->Holders(message.part, now)});
      return;
    case protocol::PromptDirectoryMessage::Kind::kReply:
      OnReply(from, message, now);
      return;
  }
}

void PromptDirectory::OnReply(const std::string& from,
                              const protocol::PromptDirectoryMessage& message,
                              TimePoint now) {
  const auto found = m_lookups.find(message.lookup);
  if (found == m_lookups.end()) return;
  PendingLookup& lookup = found->second;
  if (std::erase(lookup.pending_homes, from) == 0) return;
  // Record the most recent holder last, so that the index returns it first.
  std::for_each(message.holders.rbegin(), message.holders.rend(),
                [&](const state::BackendServerId& holder) {
                  m_index->OnRead(message.part, holder, now);
                });
  if (message.holders.empty() && !lookup.pending_homes.empty()) return;
  const auto on_done = std::move(lookup.on_done);
  m_lookups.erase(found);
  on_done();
}

}  // namespace wasabiwall::coordination
