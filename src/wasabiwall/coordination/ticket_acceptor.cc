#include "wasabiwall/coordination/ticket_acceptor.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace wasabiwall::coordination {
namespace {

using Outcome = TicketResult::Outcome;
using state::ConfigItem;
using state::KeyValueEntry;
using state::KeyValueFailure;
using state::KeyValueTxn;

constexpr int kMaxRounds = 20;
constexpr int kTicketDigits = 12;

TicketResult Failed(KeyValueFailure failure, bool may_have_written) {
  const bool unknown = may_have_written || failure == KeyValueFailure::kUnknown;
  return {unknown ? Outcome::kUnknown : Outcome::kNotDone, 0,
          "the key-value service gave no answer"};
}

TicketResult CompareWithAccepted(const protocol::Ticket& ticket,
                                 const KeyValueEntry& entry) {
  const nlohmann::json json =
      nlohmann::json::parse(entry.value, nullptr, false);
  if (json.is_object() && json.value("digest", "") == ticket.digest) {
    return {Outcome::kAlreadyAccepted, entry.mod_revision, ""};
  }
  const std::string author =
      json.is_object() ? json.value("author", "") : std::string();
  return {Outcome::kConflict, entry.mod_revision,
          "ticket " + std::to_string(ticket.number) +
              " was accepted with other content from " + author};
}

std::string EncodeTicketRecord(const protocol::Ticket& ticket) {
  nlohmann::json items = nlohmann::json::array();
  for (const ConfigItem& item : ticket.items) {
    items.push_back(std::string(state::ItemKindName(item.kind)) + "/" +
                    item.name);
  }
  return nlohmann::json{{"number", ticket.number},
                        {"author", ticket.author},
                        {"digest", ticket.digest},
                        {"items", items}}
      .dump();
}

}  // namespace

std::string ItemKey(const ConfigItem& item) {
  return std::string(kItemPrefix) + state::ItemKindName(item.kind) + "/" +
         item.name;
}

std::string TicketKey(std::int64_t number) {
  std::string digits = std::to_string(number);
  digits.insert(
      0, kTicketDigits - std::min<std::size_t>(kTicketDigits, digits.size()),
      '0');
  return kTicketPrefix + digits;
}

TicketAcceptor::TicketAcceptor(state::KeyValueStore store)
    : m_store(std::move(store)) {}

TicketResult TicketAcceptor::Apply(const protocol::Ticket& ticket) {
  bool may_have_written = false;
  for (int round = 0; round < kMaxRounds; ++round) {
    const auto accepted = m_store.range({TicketKey(ticket.number)});
    if (!accepted) return Failed(accepted.error(), may_have_written);
    if (!accepted->entries.empty()) {
      return CompareWithAccepted(ticket, accepted->entries.front());
    }
    KeyValueTxn txn;
    txn.create_compares.push_back({TicketKey(ticket.number), 0});
    txn.writes.push_back(
        {TicketKey(ticket.number), EncodeTicketRecord(ticket)});
    for (const ConfigItem& item : ticket.items) {
      const auto held = m_store.range({ItemKey(item)});
      if (!held) return Failed(held.error(), may_have_written);
      std::int64_t revision = 0;
      ConfigItem current;
      if (!held->entries.empty()) {
        revision = held->entries.front().mod_revision;
        protocol::DecodeItem(held->entries.front().value, revision, &current);
      }
      if (current.ticket >= ticket.number) {
        return {Outcome::kStale, revision,
                ItemKey(item) + " was set by ticket " +
                    std::to_string(current.ticket)};
      }
      txn.compares.push_back({ItemKey(item), revision});
      txn.writes.push_back({ItemKey(item), protocol::EncodeItem(item)});
    }
    const auto result = m_store.txn(txn);
    if (!result) {
      may_have_written =
          may_have_written || result.error() == KeyValueFailure::kUnknown;
      continue;
    }
    if (result->succeeded) return {Outcome::kAccepted, result->revision, ""};
  }
  return Failed(KeyValueFailure::kNotDone, may_have_written);
}

state::KeyValueResult<std::vector<ConfigItem>> TicketAcceptor::ReadItems(
    std::int64_t since_revision) {
  const auto result = m_store.range({.key = kItemPrefix,
                                     .prefix = true,
                                     .min_mod_revision = since_revision + 1});
  if (!result) return tl::make_unexpected(result.error());
  std::vector<ConfigItem> items;
  for (const KeyValueEntry& entry : result->entries) {
    ConfigItem item;
    if (protocol::DecodeItem(entry.value, entry.mod_revision, &item)) {
      items.push_back(std::move(item));
    }
  }
  return items;
}

}  // namespace wasabiwall::coordination
