#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>
#include <optional>

#include "standins/support/fake_key_value.h"
#include "wasabiwall/coordination/ticket_acceptor.h"

namespace wasabiwall::coordination {

namespace {

using Outcome = TicketResult::Outcome;
using protocol::Ticket;
using state::ConfigItem;
using state::ItemKind;
using state::KeyValueFailure;
using state::KeyValueTxn;

enum Fault {
  kLostRequest = 1,
  kLostAnswer,
  kRefused,
  kRivalFirst,
  kDelayed,
  kDelayedArrives
};

constexpr std::size_t kFaultySteps = 60;
constexpr std::size_t kMaxOperations = 128;
constexpr std::size_t kMaxRequestBytes = 1536UL << 10;
constexpr std::size_t kMaxValueBytes = 1000UL << 10;

const nlohmann::json kEmpty = nlohmann::json::object();

ConfigItem Item(ItemKind kind, const std::string& name, std::int64_t ticket,
                nlohmann::json state, bool deleted = false) {
  return {kind, name, ticket, 0, deleted, std::move(state)};
}

/// Builds one operator's ticket; `content` selects the items.
Ticket MakeTicket(std::int64_t number, int author, int content) {
  Ticket ticket{number, std::to_string(author), {}, ""};
  ticket.digest = ticket.author + "-" + std::to_string(content);
  const std::string name = std::to_string(content % 2);
  switch (content % 5) {
    case 0:
      ticket.items = {Item(ItemKind::kFailureDomain, name, number, kEmpty)};
      break;
    case 1:
      ticket.items = {
          Item(ItemKind::kPool, name, number, kEmpty, content % 3 == 0)};
      break;
    case 2:
      ticket.items = {
          Item(ItemKind::kBackendServer, name, number,
               {{"pool", name}, {"failure_domain", name}, {"side", name}})};
      break;
    case 3:
      ticket.items = {Item(ItemKind::kFailureDomain, name, number, kEmpty),
                      Item(ItemKind::kPool, name, number, kEmpty)};
      break;
    default:
      for (int i = 0; i < 150; ++i) {
        const std::string workspace = std::to_string(i);
        ticket.items.push_back(Item(ItemKind::kWorkspace, workspace, number,
                                    {{"token_digest", workspace}}));
      }
  }
  return ticket;
}

/// A key-value service with scripted faults and the limits of the real one.
/// Asserts that no item reverts to an older ticket.
struct FaultyKeyValueService {
  standins::FakeKeyValue fake;
  std::vector<int> faults;
  std::size_t step = 0;
  std::function<void()> run_rival;
  std::vector<KeyValueTxn> delayed;
  std::map<std::string, std::int64_t> tickets;

  int NextFault() { return step < faults.size() ? faults[step++] : 0; }

  ConfigItems Items() {
    ConfigItems items;
    const auto changes = ReadConfigChanges(fake.Store(), 0);
    RC_ASSERT(changes.has_value());
    for (const ConfigItem& item : changes->items) {
      MergeItem(item, &items);
    }
    return items;
  }

  state::KeyValueTxnResult ApplyTxn(const KeyValueTxn& txn) {
    std::size_t bytes = 0;
    for (const auto& write : txn.writes) {
      bytes += write.key.size() + write.value.size();
      RC_ASSERT(write.value.size() <= kMaxValueBytes);
    }
    RC_ASSERT(txn.writes.size() <= kMaxOperations);
    RC_ASSERT(txn.compares.size() <= kMaxOperations);
    RC_ASSERT(bytes <= kMaxRequestBytes);
    auto result = fake.Txn(txn);
    for (const auto& [key, item] : Items()) {
      std::int64_t& newest = tickets[ItemKey(item)];
      RC_ASSERT(item.ticket >= newest);
      newest = item.ticket;
    }
    return result;
  }

  void ApplyDelayed() {
    for (const KeyValueTxn& slow : std::exchange(delayed, {})) ApplyTxn(slow);
  }

  state::KeyValueStore Store() {
    state::KeyValueStore store = fake.Store();
    store.range = [this](const state::KeyValueRange& range)
        -> state::KeyValueResult<state::KeyValueRangeResult> {
      const int fault = NextFault();
      if (fault == kRivalFirst && run_rival) run_rival();
      if (fault == kDelayedArrives) ApplyDelayed();
      if (fault == kLostAnswer) {
        return tl::make_unexpected(KeyValueFailure::kUnknown);
      }
      if (fault == kRefused) {
        return tl::make_unexpected(KeyValueFailure::kNotDone);
      }
      return fake.Range(range);
    };
    store.txn = [this](const KeyValueTxn& txn)
        -> state::KeyValueResult<state::KeyValueTxnResult> {
      const int fault = NextFault();
      if (fault == kRivalFirst && run_rival) run_rival();
      if (fault == kRefused) {
        return tl::make_unexpected(KeyValueFailure::kNotDone);
      }
      if (fault == kDelayed) delayed.push_back(txn);
      if (fault == kLostRequest || fault == kDelayed) {
        return tl::make_unexpected(KeyValueFailure::kUnknown);
      }
      const auto result = ApplyTxn(txn);
      // A delayed request arrives after a later one.
      ApplyDelayed();
      if (fault == kLostAnswer) {
        return tl::make_unexpected(KeyValueFailure::kUnknown);
      }
      return result;
    };
    return store;
  }
};

bool IsRefusal(Outcome outcome) {
  return outcome == Outcome::kConflict || outcome == Outcome::kStale ||
         outcome == Outcome::kBrokenReference || outcome == Outcome::kNotDone;
}

bool IsInForce(const ConfigItems& items, ItemKind kind,
               const std::string& name) {
  const auto found = items.find({kind, name});
  return found != items.end() && !found->second.deleted;
}

}  // namespace

TEST_CASE(
    "each ticket is accepted at most once under concurrent operators, lost "
    "answers and outages",
    "[ticket_acceptor][fuzz]") {
  rc::prop("stored items match the reported outcomes", [] {
    using Submission = std::tuple<int, int, int>;
    const auto submissions = *rc::gen::container<std::vector<Submission>>(
        rc::gen::tuple(rc::gen::inRange(1, 9), rc::gen::inRange(0, 3),
                       rc::gen::inRange(0, 20)));
    FaultyKeyValueService service;
    service.faults = *rc::gen::container<std::vector<int>>(
        kFaultySteps, rc::gen::inRange(0, 9));
    TicketAcceptor acceptor(service.Store());
    std::map<std::pair<std::int64_t, std::string>, Ticket> submitted;
    std::map<std::pair<std::int64_t, std::string>, Outcome> outcomes;
    std::size_t next = 0;
    const auto submit_next = [&] {
      if (next >= submissions.size()) return;
      const auto [number, author, content] = submissions[next++];
      const Ticket ticket = MakeTicket(number, author, content);
      submitted[{number, ticket.digest}] = ticket;
      const Outcome outcome = acceptor.Apply(ticket).outcome;
      Outcome& held =
          outcomes.try_emplace({number, ticket.digest}, outcome).first->second;
      const bool accepted =
          held == Outcome::kAccepted || held == Outcome::kAlreadyAccepted;
      // An earlier call whose result is unknown may still be applied.
      const bool open =
          held == Outcome::kUnknown && outcome == Outcome::kNotDone;
      if (!accepted && !open) held = outcome;
    };
    service.run_rival = submit_next;
    while (next < submissions.size()) submit_next();
    service.ApplyDelayed();

    std::map<std::pair<ItemKind, std::string>, ConfigItem> oracle;
    std::map<std::int64_t, std::string> winners;
    for (const auto& entry :
         service.fake.Range({kTicketPrefix, true}).entries) {
      const auto record = nlohmann::json::parse(entry.value);
      const std::int64_t number = record.at("number");
      winners[number] = record.at("digest");
      for (const ConfigItem& item :
           submitted.at({number, winners[number]}).items) {
        oracle[{item.kind, item.name}] = item;
      }
    }
    for (const auto& [ticket, outcome] : outcomes) {
      const auto winner = winners.find(ticket.first);
      const bool won =
          winner != winners.end() && winner->second == ticket.second;
      if (IsRefusal(outcome)) RC_ASSERT(!won);
      if (outcome == Outcome::kAccepted) RC_ASSERT(won);
      if (outcome == Outcome::kAlreadyAccepted) RC_ASSERT(won);
      if (outcome == Outcome::kConflict) RC_ASSERT(winner != winners.end());
    }
    const ConfigItems items = service.Items();
    RC_ASSERT(items.size() == oracle.size());
    for (const auto& [key, item] : items) {
      RC_ASSERT(oracle.at(key).ticket == item.ticket);
      const bool live_server =
          item.kind == ItemKind::kBackendServer && !item.deleted;
      if (!live_server) continue;
      RC_ASSERT(IsInForce(items, ItemKind::kPool, item.name));
      RC_ASSERT(IsInForce(items, ItemKind::kFailureDomain, item.name));
    }
  });
}

TEST_CASE("a ticket with 11,000 workspaces is accepted", "[ticket_acceptor]") {
  FaultyKeyValueService service;
  service.faults = {0, 0, 0, 0, kLostRequest, kLostAnswer};
  Ticket ticket{1, "x", {}, "d"};
  for (int i = 0; i < 11000; ++i) {
    const std::string name = "workspace-" + std::to_string(i);
    ticket.items.push_back(Item(
        ItemKind::kWorkspace, name, 1,
        {{"token_digest", std::string(56, '0') + std::to_string(10000000 + i)},
         {"weight", 1.5}}));
  }
  TicketAcceptor acceptor(service.Store());
  CHECK(acceptor.Apply(ticket).outcome == Outcome::kAccepted);
  CHECK(service.step < 20);
  CHECK(service.Items().size() == 11000);
  CHECK(acceptor.Apply(MakeTicket(1, 2, 0)).outcome == Outcome::kConflict);
  CHECK(acceptor.Apply(ticket).outcome == Outcome::kAlreadyAccepted);
}

}  // namespace wasabiwall::coordination
