#include "wasabiwall/coordination/ticket_acceptor.h"

#include <catch2/catch.hpp>

#include "standins/support/fake_key_value.h"

namespace wasabiwall::coordination {

using Outcome = TicketResult::Outcome;

namespace {

protocol::Ticket MakeTicket(int number, const std::string& author) {
  const auto ticket = protocol::ParseTicket(
      "ticket = " + std::to_string(number) + "\nauthor = \"" + author +
          "\"\n[[failure_domain]]\nname = \"a\"\n",
      "t.toml");
  REQUIRE(ticket);
  return *ticket;
}

}  // namespace

TEST_CASE("tickets are accepted once and in order", "[ticket_acceptor]") {
  standins::FakeKeyValue store;
  TicketAcceptor acceptor(store.Store());
  CHECK(acceptor.Apply(MakeTicket(5, "x")).outcome == Outcome::kAccepted);
  CHECK(acceptor.Apply(MakeTicket(5, "x")).outcome ==
        Outcome::kAlreadyAccepted);
  CHECK(acceptor.Apply(MakeTicket(5, "y")).outcome == Outcome::kConflict);
  const TicketResult stale = acceptor.Apply(MakeTicket(4, "x"));
  CHECK(stale.outcome == Outcome::kStale);
  CHECK(stale.reason.find("ticket 5") != std::string::npos);
  CHECK(acceptor.Apply(MakeTicket(6, "x")).outcome == Outcome::kAccepted);
}

TEST_CASE("a ticket is reported as accepted although the first answer was lost",
          "[ticket_acceptor]") {
  standins::FakeKeyValue store;
  state::KeyValueStore faulty = store.Store();
  bool lost = false;
  faulty.txn = [&](const state::KeyValueTxn& txn)
      -> state::KeyValueResult<state::KeyValueTxnResult> {
    const auto result = store.Txn(txn);
    if (lost) return result;
    lost = true;
    return tl::make_unexpected(state::KeyValueFailure::kUnknown);
  };
  TicketAcceptor acceptor(faulty);
  CHECK(acceptor.Apply(MakeTicket(1, "x")).outcome ==
        Outcome::kAlreadyAccepted);
}

TEST_CASE("exactly one of two concurrent operators wins", "[ticket_acceptor]") {
  standins::FakeKeyValue store;
  state::KeyValueStore racing = store.Store();
  TicketAcceptor rival(store.Store());
  bool raced = false;
  racing.txn = [&](const state::KeyValueTxn& txn) {
    if (!raced) {
      raced = true;
      CHECK(rival.Apply(MakeTicket(1, "rival")).outcome == Outcome::kAccepted);
    }
    return state::KeyValueResult<state::KeyValueTxnResult>(store.Txn(txn));
  };
  TicketAcceptor acceptor(racing);
  const TicketResult result = acceptor.Apply(MakeTicket(1, "x"));
  CHECK(result.outcome == Outcome::kConflict);
  CHECK(result.reason.find("rival") != std::string::npos);
}

}  // namespace wasabiwall::coordination
