#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "wasabiwall/coordination/config_reader.h"
#include "wasabiwall/coordination/config_references.h"
#include "wasabiwall/protocol/ticket.h"
#include "wasabiwall/state/key_value.h"

namespace wasabiwall::coordination {

/// Result of applying a change ticket.
struct TicketResult {
  enum class Outcome {
    kAccepted,
    /// The same ticket has been accepted before.
    kAlreadyAccepted,
    /// Another ticket with this number has been accepted.
    kConflict,
    /// The same or a newer ticket has set one of the items.
    kStale,
    /// A reference between items would be broken.
    kBrokenReference,
    /// The key-value service gave no answer; the ticket was not accepted.
    kNotDone,
    /// The ticket may have been accepted; apply it again to find out.
    kUnknown,
  };

  Outcome outcome = Outcome::kUnknown;
  std::int64_t revision = 0;
  /// Why the ticket was not accepted; names the conflicting ticket or items.
  std::string reason;
};

/// Applies change tickets by compare-and-swap, so that one of several
/// concurrent operators wins and no item reverts to an older ticket. Each
/// accepted ticket writes the head key on condition that it is unchanged since
/// the configuration was read, so that all checks hold at the moment of
/// acceptance. A ticket too large for one transaction is first written in
/// parts, which readers ignore until the transaction writes a commit record
/// that names them.
class TicketAcceptor {
 public:
  /// @param store Calls to the key-value service.
  explicit TicketAcceptor(state::KeyValueStore store);

  /// Applies a ticket. Idempotent.
  TicketResult Apply(const protocol::Ticket& ticket);

 private:
  struct Head;

  state::KeyValueResult<Head> ReadHead();
  std::optional<TicketResult> FindAccepted(const protocol::Ticket& ticket,
                                           bool may_have_written);
  state::KeyValueResult<bool> WriteParts(const protocol::Ticket& ticket);
  /// Removes the parts of this ticket number that don't belong to the accepted
  /// ticket.
  /// @param referenced_digest Digest of the accepted ticket, whose parts stay.
  void RemoveParts(const protocol::Ticket& ticket,
                   const std::string& referenced_digest);

  state::KeyValueStore m_store;
};

/// Checks whether a ticket would be accepted on the configuration in force.
/// @param ticket Ticket to be applied.
/// @param current_items All items in force.
/// @return The refusal, or nothing when the ticket would be accepted.
std::optional<TicketResult> ValidateTicket(const protocol::Ticket& ticket,
                                           const ConfigItems& current_items);

}  // namespace wasabiwall::coordination
