#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/coordination/prompt_cache_index.h"
#include "wasabiwall/protocol/prompt_directory_message.h"

namespace wasabiwall::coordination {

/// Shares between gateways which engines hold a prompt part.
///
/// Each part has two homes among the gateways, chosen by rendezvous hashing.
/// Whoever sees an engine read a part tells the homes, and whoever knows no
/// holder asks them, so that the messages of a gateway grow with its own calls
/// and not with the fleet. All of it is a hint: lost messages and lost homes
/// cost a prompt that is read again. Does no I/O. Not safe for concurrent use.
class PromptDirectory {
 public:
  /// Identifies a question that waits for answers.
  using LookupId = std::uint64_t;

  /// Sends a message to the address of another gateway.
  using SendHook =
      std::function<void(const std::string& address,
                         const protocol::PromptDirectoryMessage& news)>;

  /// @param known What this process knows; also filled with the news of others.
  PromptDirectory(std::string own_name, PromptCacheIndex* known, SendHook send);

  /// Replaces the gateways that take part.
  /// @param members Addresses by name, empty for one that cannot be asked; this
  /// process may be among them.
  void SetMembers(std::map<std::string, std::string> members);

  /// An engine has begun to answer a call with the part.
  void OnRead(std::uint64_t part, const state::BackendServerId& holder,
              TimePoint now);

  /// Asks the homes of a part for its holders.
  /// @param on_answered Called once, when a home has named holders or all have
  /// answered. Not called after OnLookupTimeout or Cancel.
  /// @return Nothing when there is no home to ask.
  std::optional<LookupId> LookUp(std::uint64_t part, TimePoint now,
                                 std::function<void()> on_answered);

  /// The question is not waited for any longer. Homes that have left several in
  /// a row unanswered are not asked for a while.
  void OnLookupTimeout(LookupId id, TimePoint now);

  /// The answer is of no use any more.
  void Cancel(LookupId id) { m_questions.erase(id); }

  /// A message of another gateway has arrived.
  /// @param from Address of its sender.
  void OnMessage(const std::string& from,
                 const protocol::PromptDirectoryMessage& news, TimePoint now);

 private:
  struct Question {
    std::vector<std::string> waiting_for;
    std::function<void()> on_answered;
  };

  /// What a home has left unanswered since its last message.
  struct Silence {
    int questions = 0;
    /// Until when it is not asked.
    TimePoint until;
  };

  /// @return Addresses of the part's homes other than this process.
  std::vector<std::string> OtherHomes(std::uint64_t part) const;
  void OnAnswer(const std::string& from,
                const protocol::PromptDirectoryMessage& news, TimePoint now);

  std::string m_own_name;
  PromptCacheIndex* m_known;
  SendHook m_send;
  std::map<std::string, std::string> m_members;
  std::unordered_map<LookupId, Question> m_questions;
  LookupId m_next_question = 1;
  /// When a holder of a part was last announced.
  std::unordered_map<std::uint64_t, TimePoint> m_announced;
  std::unordered_map<std::string, Silence> m_silences;
};

}  // namespace wasabiwall::coordination
