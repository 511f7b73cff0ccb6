#include "wasabiwall/coordination/ticket_acceptor.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace wasabiwall::coordination {
namespace {

using Outcome = TicketResult::Outcome;
using state::ConfigItem;
using state::KeyValueEntry;
using state::KeyValueFailure;
using state::KeyValueTxn;

constexpr int kMaxAttempts = 20;
/// Limits for a ticket in one transaction; the key-value service takes 128
/// operations and 1.5 MB.
constexpr std::size_t kMaxItemsPerTxn = 100;
constexpr std::size_t kMaxBytesPerTxn = 512UL << 10;
constexpr std::size_t kMaxPartBytes = 512UL << 10;
constexpr std::size_t kMaxReportedReasons = 5;
constexpr int kPartDigits = 4;

TicketResult FailedResult(bool may_have_written) {
  return {may_have_written ? Outcome::kUnknown : Outcome::kNotDone, 0,
          "the key-value service gave no answer"};
}

std::string EncodeTicketRecord(const protocol::Ticket& ticket) {
  return nlohmann::json{{"number", ticket.number},
                        {"author", ticket.author},
                        {"digest", ticket.digest},
                        {"items", ticket.items.size()}}
      .dump();
}

std::vector<std::string> EncodeParts(const protocol::Ticket& ticket) {
  std::vector<std::string> parts;
  nlohmann::json part = nlohmann::json::array();
  std::size_t bytes = 0;
  const auto finish = [&] {
    parts.push_back(part.dump());
    part = nlohmann::json::array();
    bytes = 0;
  };
  for (const ConfigItem& item : ticket.items) {
    std::string encoded = protocol::EncodeItem(item);
    if (bytes > 0 && bytes + encoded.size() > kMaxPartBytes) finish();
    bytes += encoded.size();
    part.push_back(std::move(encoded));
  }
  if (bytes > 0) finish();
  return parts;
}

bool NeedsParts(const protocol::Ticket& ticket) {
  if (ticket.items.size() > kMaxItemsPerTxn) return true;
  std::size_t bytes = 0;
  for (const ConfigItem& item : ticket.items) {
    bytes += protocol::EncodeItem(item).size();
  }
  return bytes > kMaxBytesPerTxn;
}

std::string PartKey(const protocol::Ticket& ticket, std::size_t index) {
  const std::string digits = std::to_string(index);
  return PartsPrefix(ticket.number, ticket.digest) +
         std::string(
             kPartDigits - std::min<std::size_t>(kPartDigits, digits.size()),
             '0') +
         digits;
}

/// Builds the transaction that accepts a ticket if the head key is unchanged.
KeyValueTxn AcceptTxn(const protocol::Ticket& ticket,
                      std::int64_t head_revision) {
  KeyValueTxn txn;
  txn.compares.push_back({kHeadKey, head_revision});
  txn.create_compares.push_back({TicketKey(ticket.number), 0});
  txn.writes.push_back({TicketKey(ticket.number), EncodeTicketRecord(ticket)});
  txn.writes.push_back({kHeadKey, std::to_string(ticket.number)});
  if (NeedsParts(ticket)) {
    const nlohmann::json commit = {{"number", ticket.number},
                                   {"digest", ticket.digest},
                                   {"parts", EncodeParts(ticket).size()}};
    txn.writes.push_back({MultipartTicketKey(ticket.number), commit.dump()});
    return txn;
  }
  for (const ConfigItem& item : ticket.items) {
    txn.writes.push_back({ItemKey(item), protocol::EncodeItem(item)});
  }
  return txn;
}

std::string Join(const std::vector<std::string>& reasons) {
  std::string joined;
  for (std::size_t i = 0; i < reasons.size() && i < kMaxReportedReasons; ++i) {
    if (!joined.empty()) joined += "; ";
    joined += reasons[i];
  }
  if (reasons.size() > kMaxReportedReasons) {
    joined += "; and " + std::to_string(reasons.size() - kMaxReportedReasons) +
              " more";
  }
  return joined;
}

}  // namespace

/// Configuration in force and the head revision, as read for one attempt.
struct TicketAcceptor::Head {
  std::int64_t revision = 0;
  ConfigItems items;
};

std::optional<TicketResult> ValidateTicket(const protocol::Ticket& ticket,
                                           const ConfigItems& current_items) {
  ConfigItems merged = current_items;
  for (const ConfigItem& item : ticket.items) {
    const auto current = current_items.find({item.kind, item.name});
    if (current != current_items.end() &&
        current->second.ticket >= ticket.number) {
      return TicketResult{Outcome::kStale, current->second.revision,
                          ItemKey(item) + " was set by ticket " +
                              std::to_string(current->second.ticket)};
    }
    MergeItem(item, &merged);
  }
  const std::vector<std::string> broken = CheckReferences(merged);
  if (broken.empty()) return std::nullopt;
  return TicketResult{Outcome::kBrokenReference, 0, Join(broken)};
}

TicketAcceptor::TicketAcceptor(state::KeyValueStore store)
    : m_store(std::move(store)) {}

TicketResult TicketAcceptor::Apply(const protocol::Ticket& ticket) {
  bool may_have_written = false;
  bool parts_written = !NeedsParts(ticket);
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto accepted = FindAccepted(ticket, may_have_written);
    if (accepted) return *accepted;
    const auto head = ReadHead();
    if (!head) return FailedResult(may_have_written);
    const auto refused = ValidateTicket(ticket, head->items);
    if (refused) {
      // A ticket accepted by an earlier attempt whose result was lost appears
      // stale compared with its own items.
      const auto accepted_meanwhile = FindAccepted(ticket, may_have_written);
      if (accepted_meanwhile) return *accepted_meanwhile;
      return *refused;
    }
    if (!parts_written) {
      const auto written = WriteParts(ticket);
      if (!written) return FailedResult(may_have_written);
      parts_written = true;
    }
    const auto result = m_store.txn(AcceptTxn(ticket, head->revision));
    if (!result) {
      may_have_written =
          may_have_written || result.error() == KeyValueFailure::kUnknown;
      continue;
    }
    if (!result->succeeded) continue;
    if (NeedsParts(ticket)) RemoveParts(ticket, ticket.digest);
    return {Outcome::kAccepted, result->revision, ""};
  }
  return FailedResult(may_have_written);
}

std::optional<TicketResult> TicketAcceptor::FindAccepted(
    const protocol::Ticket& ticket, bool may_have_written) {
  const auto accepted = m_store.range({TicketKey(ticket.number)});
  if (!accepted) return FailedResult(may_have_written);
  if (accepted->entries.empty()) return std::nullopt;
  const KeyValueEntry& entry = accepted->entries.front();
  const nlohmann::json record =
      nlohmann::json::parse(entry.value, nullptr, false);
  const bool readable = record.is_object();
  if (readable && record.value("digest", "") == ticket.digest) {
    return TicketResult{Outcome::kAlreadyAccepted, entry.mod_revision, ""};
  }
  if (readable && NeedsParts(ticket)) {
    RemoveParts(ticket, record.value("digest", ""));
  }
  const std::string author = readable ? record.value("author", "") : "";
  return TicketResult{Outcome::kConflict, entry.mod_revision,
                      "ticket " + std::to_string(ticket.number) +
                          " was accepted with other content from " + author};
}

state::KeyValueResult<TicketAcceptor::Head> TicketAcceptor::ReadHead() {
  const auto changes = ReadConfigChanges(m_store, 0);
  if (!changes) return tl::make_unexpected(changes.error());
  Head head;
  head.revision = changes->complete_revision;
  for (const ConfigItem& item : changes->items) MergeItem(item, &head.items);
  return head;
}

state::KeyValueResult<bool> TicketAcceptor::WriteParts(
    const protocol::Ticket& ticket) {
  const std::vector<std::string> parts = EncodeParts(ticket);
  for (std::size_t i = 0; i < parts.size(); ++i) {
    KeyValueTxn txn;
    txn.writes.push_back({PartKey(ticket, i), parts[i]});
    auto result = m_store.txn(txn);
    // The key contains the digest of the content, so that writing it twice is
    // harmless.
    for (int attempt = 1; !result && attempt < kMaxAttempts; ++attempt) {
      result = m_store.txn(txn);
    }
    if (!result) return tl::make_unexpected(result.error());
  }
  return true;
}

void TicketAcceptor::RemoveParts(const protocol::Ticket& ticket,
                                 const std::string& referenced_digest) {
  const auto parts = m_store.range({PartsPrefix(ticket.number), true});
  if (!parts) return;
  const std::string kept = PartsPrefix(ticket.number, referenced_digest);
  for (const KeyValueEntry& part : parts->entries) {
    if (part.key.compare(0, kept.size(), kept) == 0) continue;
    KeyValueTxn txn;
    txn.writes.push_back({.key = part.key, .remove = true});
    m_store.txn(txn);
  }
}

}  // namespace wasabiwall::coordination
