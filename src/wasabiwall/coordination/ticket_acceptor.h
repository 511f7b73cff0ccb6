#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "wasabiwall/coordination/config_reader.h"
#include "wasabiwall/coordination/config_references.h"
#include "wasabiwall/protocol/ticket.h"
#include "wasabiwall/state/key_value.h"

namespace wasabiwall::coordination {

/// How the key-value service took a ticket.
struct TicketResult {
  enum class Outcome {
    kAccepted,
    /// The same ticket was accepted before.
    kAlreadyAccepted,
    /// Another ticket has this number.
    kConflict,
    /// A newer ticket has set one of the items.
    kStale,
    /// An item refers to one that would not be in force.
    kBrokenReference,
    /// The service could not be reached; nothing was written.
    kNotDone,
    /// The service may or may not have accepted; apply it again.
    kUnknown,
  };

  Outcome outcome = Outcome::kUnknown;
  std::int64_t revision = 0;
  /// Why it was refused, naming the winner.
  std::string reason;
};

/// Accepts change tickets by compare-and-swap, so that one of several racing
/// operators wins and no item goes back to an older ticket. Every accepted
/// ticket writes the head key on condition that it is unchanged since the state
/// was read, so all checks hold at the moment of acceptance. A ticket too large
/// for one transaction is first written in parts that nobody reads until the
/// transaction names them.
class TicketAcceptor {
 public:
  /// @param store Calls to the key-value service.
  explicit TicketAcceptor(state::KeyValueStore store);

  /// Applies a ticket; repeating it is safe.
  TicketResult Apply(const protocol::Ticket& ticket);

 private:
  struct Head;

  state::KeyValueResult<Head> ReadHead();
  std::optional<TicketResult> FindAccepted(const protocol::Ticket& ticket,
                                           bool may_have_written);
  state::KeyValueResult<bool> WriteParts(const protocol::Ticket& ticket);
  /// Removes parts of this number that no commit record names.
  void RemoveParts(const protocol::Ticket& ticket,
                   const std::string& kept_digest);

  state::KeyValueStore m_store;
};

/// Checks a ticket against the state in force.
/// @param ticket Ticket to be applied.
/// @param held All items in force.
/// @return Why it would be refused; nothing when it would be accepted.
std::optional<TicketResult> ValidateTicket(const protocol::Ticket& ticket,
                                           const ConfigItems& held);

}  // namespace wasabiwall::coordination
