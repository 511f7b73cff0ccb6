#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/coordination/prompt_cache_index.h"
#include "wasabiwall/coordination/rendezvous_homes.h"
#include "wasabiwall/protocol/prompt_directory_message.h"

namespace wasabiwall::coordination {

/// Directory of the engines that hold a prompt part, partitioned over the
/// gateways.
///
/// Each part has two home gateways, chosen by rendezvous hashing. A gateway
/// that sees an engine read a part announces this to the homes of the part, and
/// a gateway that knows no holder of a part looks it up there, so that the
/// messages of a gateway grow with its own calls and not with the number of
/// gateways. All entries are hints: a lost message or a lost home only costs
/// reading a prompt again. Does no I/O. Not safe for concurrent use.
class PromptDirectory {
 public:
  /// Identifies a pending lookup.
  using LookupId = std::uint64_t;

  /// Sends a message to the address of another gateway.
  using SendHook =
      std::function<void(const std::string& address,
                         const protocol::PromptDirectoryMessage& message)>;

  /// @param index Index of this process; announcements and replies of other
  /// gateways are added to it.
  PromptDirectory(std::string own_name, PromptCacheIndex* index, SendHook send);

  /// Replaces the set of participating gateways.
  /// @param members Those with an address; may contain this process.
  void SetMembers(std::shared_ptr<const ProcessAddresses> members) {
    m_members = std::move(members);
  }

  /// Records that an engine has begun to answer a call with the part, and
  /// announces this to the homes of the part.
  void OnRead(std::uint64_t part, const state::BackendServerId& holder,
              TimePoint now);

  /// Looks up the holders of a part at its homes.
  /// @param on_done Called once, when a home has named holders or all homes
  /// have replied. Not called after OnLookupTimeout or Cancel.
  /// @return Nothing if there is no home to ask.
  std::optional<LookupId> LookUp(std::uint64_t part, TimePoint now,
                                 std::function<void()> on_done);

  /// Ends a lookup that has timed out. A home that has left several lookups in
  /// a row unanswered is skipped for a while.
  void OnLookupTimeout(LookupId id, TimePoint now);

  /// Ends a lookup whose result is no longer needed.
  void Cancel(LookupId id) { m_lookups.erase(id); }

  /// Handles a message from another gateway.
  /// @param from Address of the sender.
  void OnMessage(const std::string& from,
                 const protocol::PromptDirectoryMessage& message,
                 TimePoint now);

 private:
  struct PendingLookup {
    std::vector<std::string> pending_homes;
    std::function<void()> on_done;
  };

  /// Lookups that a home has left unanswered since its last message.
  struct Unresponsiveness {
    int unanswered_lookups = 0;
    /// Time until which no lookups are sent to it.
    TimePoint skipped_until;
  };

  /// @return Addresses of the part's homes other than this process.
  std::vector<std::string> RemoteHomes(std::uint64_t part) const;
  void OnReply(const std::string& from,
               const protocol::PromptDirectoryMessage& message, TimePoint now);

  std::string m_own_name;
  PromptCacheIndex* m_index;
  SendHook m_send;
  std::shared_ptr<const ProcessAddresses> m_members =
      std::make_shared<ProcessAddresses>();
  std::unordered_map<LookupId, PendingLookup> m_lookups;
  LookupId m_next_lookup = 1;
  /// Time at which a holder of a part was last announced, by the hash of both.
  std::unordered_map<std::uint64_t, TimePoint> m_announced;
  std::unordered_map<std::string, Unresponsiveness> m_unresponsive;
};

}  // namespace wasabiwall::coordination
