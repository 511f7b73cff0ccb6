#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wasabiwall/protocol/ticket.h"
#include "wasabiwall/state/config_item.h"
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
/// operators wins and no item goes back to an older ticket.
class TicketAcceptor {
 public:
  /// @param store Calls to the key-value service.
  explicit TicketAcceptor(state::KeyValueStore store);

  /// Applies a ticket; repeating it is safe.
  TicketResult Apply(const protocol::Ticket& ticket);

  /// Reads all items, deletions included.
  state::KeyValueResult<std::vector<state::ConfigItem>> ReadItems(
      std::int64_t since_revision);

 private:
  state::KeyValueStore m_store;
};

/// @return Key of an item in the key-value service.
std::string ItemKey(const state::ConfigItem& item);

/// @return Key of a ticket in the key-value service.
std::string TicketKey(std::int64_t number);

inline constexpr char kItemPrefix[] = "/wasabiwall/items/";
inline constexpr char kTicketPrefix[] = "/wasabiwall/tickets/";

}  // namespace wasabiwall::coordination
