#include "wasabiwall/coordination/config_reader.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "wasabiwall/protocol/ticket.h"

namespace wasabiwall::coordination {
namespace {

using state::ConfigItem;
using state::KeyValueEntry;
using state::KeyValueFailure;

constexpr char kPartsPrefix[] = "/wasabiwall/parts/";
constexpr int kTicketDigits = 12;

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

std::string ZeroPadded(std::int64_t number) {
  std::string digits = std::to_string(number);
  const std::size_t missing =
      kTicketDigits - std::min<std::size_t>(kTicketDigits, digits.size());
  return std::string(missing, '0') + digits;
}

/// Decodes the items of one part and appends them to `items`.
/// @return Whether the part is well-formed.
bool AppendPartItems(const std::string& text, std::int64_t revision,
                     std::vector<ConfigItem>* items) {
  const nlohmann::json part = nlohmann::json::parse(text, nullptr, false);
  if (!part.is_array()) return false;
  for (const nlohmann::json& encoded : part) {
    ConfigItem item;
    const bool decoded =
        encoded.is_string() && protocol::DecodeItem(encoded, revision, &item);
    if (!decoded) return false;
    items->push_back(std::move(item));
  }
  return true;
}

/// Reads the items of all parts that a commit record names.
state::KeyValueResult<bool> ReadParts(const state::KeyValueStore& store,
                                      const KeyValueEntry& commit,
                                      std::vector<ConfigItem>* items) {
  const nlohmann::json record =
      nlohmann::json::parse(commit.value, nullptr, false);
  if (!record.is_object())
    return tl::make_unexpected(KeyValueFailure::kNotDone);
  const std::int64_t number = record.value("number", std::int64_t{0});
  const std::size_t count = record.value("parts", std::size_t{0});
  const auto parts =
      store.range({PartsPrefix(number, record.value("digest", "")), true});
  if (!parts) return tl::make_unexpected(parts.error());
  if (parts->entries.size() != count) {
    return tl::make_unexpected(KeyValueFailure::kNotDone);
  }
  for (const KeyValueEntry& part : parts->entries) {
    if (!AppendPartItems(part.value, commit.mod_revision, items)) {
      return tl::make_unexpected(KeyValueFailure::kNotDone);
    }
  }
  return true;
}

}  // namespace

std::string ItemKey(const ConfigItem& item) {
  return std::string(kItemPrefix) + state::ItemKindName(item.kind) + "/" +
         item.name;
}

std::string TicketKey(std::int64_t number) {
  return kTicketPrefix + ZeroPadded(number);
}

std::string MultipartTicketKey(std::int64_t number) {
  return kMultipartPrefix + ZeroPadded(number);
}

std::string PartsPrefix(std::int64_t number) {
  return kPartsPrefix + ZeroPadded(number) + "/";
}

std::string PartsPrefix(std::int64_t number, const std::string& digest) {
  return PartsPrefix(number) + digest + "/";
}

state::KeyValueResult<ConfigChanges> ReadConfigChanges(
    const state::KeyValueStore& store, std::int64_t since_revision) {
  const auto entries = store.range({.key = kConfigPrefix,
                                    .prefix = true,
                                    .min_mod_revision = since_revision + 1});
  if (!entries) return tl::make_unexpected(entries.error());
  ConfigChanges changes;
  changes.complete_revision = since_revision;
  changes.service_revision = entries->revision;
  for (const KeyValueEntry& entry : entries->entries) {
    if (entry.key == kHeadKey) {
      changes.complete_revision = entry.mod_revision;
    } else if (StartsWith(entry.key, kMultipartPrefix)) {
      const auto read = ReadParts(store, entry, &changes.items);
      if (!read) return tl::make_unexpected(read.error());
    } else {
      ConfigItem item;
      const bool decoded =
          protocol::DecodeItem(entry.value, entry.mod_revision, &item);
      if (decoded) changes.items.push_back(std::move(item));
    }
  }
  return changes;
}

}  // namespace wasabiwall::coordination
