#include "wasabiwall/protocol/ticket_check.h"

#include <algorithm>
#include <map>
#include <regex>
#include <set>
#include <utility>

#include "wasabiwall/state/config_item.h"

namespace wasabiwall::protocol {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kDigestDigits = 64;
constexpr int kMaxPort = 65535;
constexpr int kMaxOctet = 255;
/// Capture group of the address pattern that holds the port.
constexpr std::size_t kPortGroup = 6;
const json kNoTables = json::array();

/// Value of a field with the key path of the field.
struct KeyedValue {
  std::string key;
  std::string value;
};

bool IsName(const std::string& text) {
  const auto allowed = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == ':';
  };
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), allowed);
}

bool IsDigest(const std::string& text) {
  const auto allowed = [](unsigned char c) {
    return std::isdigit(c) != 0 || (c >= 'a' && c <= 'f');
  };
  return text.size() == kDigestDigits &&
         std::all_of(text.begin(), text.end(), allowed);
}

bool IsPort(const std::string& digits) {
  const int port = std::stoi(digits);
  return port >= 1 && port <= kMaxPort;
}

bool IsAddress(const std::string& text) {
  static const std::regex pattern(
      R"(((\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3})|\[[0-9a-fA-F:]+\]):(\d{1,5}))");
  std::smatch match;
  if (!std::regex_match(text, match, pattern)) return false;
  for (std::size_t group = 2; group < kPortGroup; ++group) {
    if (match[group].matched && std::stoi(match[group]) > kMaxOctet) {
      return false;
    }
  }
  return IsPort(match[kPortGroup]);
}

bool IsBaseUrl(const std::string& text) {
  static const std::regex pattern(R"(https?://([^/?#\s]+)(/[^?#\s]*)?)");
  std::smatch match;
  return std::regex_match(text, match, pattern) && IsAddress(match[1]);
}

/// Validates one ticket and collects its problems.
class ValueChecker {
 public:
  ValueChecker(const json& root, std::string file, const TomlLines& lines)
      : m_root(root), m_file(std::move(file)), m_lines(lines) {}

  std::vector<TomlProblem> Check() {
    CheckItems();
    CheckWorkspaces();
    CheckPools();
    CheckBackendServers();
    CheckServices();
    CheckRemovedReferences();
    return std::move(m_problems);
  }

 private:
  const json& Tables(const char* kind) const {
    const auto found = m_root.find(kind);
    return found == m_root.end() ? kNoTables : *found;
  }

  static std::string ItemPath(const char* kind, std::size_t index) {
    return std::string(kind) + "[" + std::to_string(index) + "]";
  }

  void AddProblem(const std::string& key, std::string reason) {
    auto line = m_lines.find(key);
    if (line == m_lines.end())
      line = m_lines.find(key.substr(0, key.find('.')));
    m_problems.push_back({m_file, line == m_lines.end() ? 1 : line->second, key,
                          std::move(reason)});
  }

  void Require(bool correct, const std::string& key, const char* reason) {
    if (!correct) AddProblem(key, reason);
  }

  /// Reports each value that occurs more than once.
  void CheckUnique(const std::vector<KeyedValue>& entries) {
    std::map<std::string, std::string> first;
    for (const KeyedValue& entry : entries) {
      const auto [earlier, added] = first.try_emplace(entry.value, entry.key);
      if (added) continue;
      AddProblem(entry.key, "the same as " + earlier->second + " in line " +
                                std::to_string(m_lines.at(earlier->second)));
    }
  }

  /// @return Values of one field in all items of a kind.
  std::vector<KeyedValue> Values(const char* kind, const char* field) const {
    std::vector<KeyedValue> entries;
    const json& tables = Tables(kind);
    for (std::size_t i = 0; i < tables.size(); ++i) {
      if (!tables[i].contains(field)) continue;
      entries.push_back({ItemPath(kind, i) + "." + field, tables[i].at(field)});
    }
    return entries;
  }

  void CheckItems() {
    std::map<std::string, std::vector<KeyedValue>> names;
    bool any = false;
    for (const auto& [key, tables] : m_root.items()) {
      if (!tables.is_array()) continue;
      for (const KeyedValue& name : Values(key.c_str(), "name")) {
        any = true;
        Require(IsName(name.value), name.key,
                "must be 1 to 128 letters, digits, '-', '_', '.' or ':'");
        if (key != "remove") names[key].push_back(name);
      }
    }
    for (std::size_t i = 0; i < Tables("remove").size(); ++i) {
      const json& removal = Tables("remove")[i];
      names[removal.at("kind")].push_back(
          {ItemPath("remove", i) + ".name", removal.at("name")});
    }
    Require(any, "", "the ticket touches no item");
    for (const auto& [kind, entries] : names) CheckUnique(entries);
  }

  void CheckWorkspaces() {
    const std::vector<KeyedValue> digests = Values("workspace", "token_digest");
    for (const KeyedValue& digest : digests) {
      Require(IsDigest(digest.value), digest.key,
              "must be a SHA-256 of 64 lower-case hex digits");
    }
    CheckUnique(digests);
  }

  void CheckPools() {
    std::vector<KeyedValue> models;
    const json& pools = Tables("pool");
    for (std::size_t i = 0; i < pools.size(); ++i) {
      const json& pool = pools[i];
      const std::string path = ItemPath("pool", i);
      const json listed = pool.value("models", json::array());
      if (pool.at("kind") == "service") {
        Require(listed.empty(), path + ".models",
                "a pool of kind service serves no models");
      }
      for (const json& model : listed) {
        Require(model != "", path + ".models", "must not be empty");
        models.push_back({path + ".models", model});
      }
      CheckLimits(pool, path);
    }
    CheckUnique(models);
  }

  void CheckLimits(const json& pool, const std::string& path) {
    if (!pool.contains("load_ceiling_units")) return;
    const json& ceiling = pool.at("load_ceiling_units");
    for (const char* field : {"load_floor_units", "warmup_units"}) {
      Require(!pool.contains(field) || pool.at(field) <= ceiling,
              path + "." + field, "must not exceed load_ceiling_units");
    }
  }

  void CheckBackendServers() {
    const std::vector<KeyedValue> sides = Values("backend_server", "side");
    for (const KeyedValue& side : sides) {
      Require(IsAddress(side.value), side.key,
              "must be ip:port with a port from 1 to 65535");
    }
    for (const KeyedValue& url : Values("backend_server", "url")) {
      Require(IsBaseUrl(url.value), url.key,
              "must be http://ip:port or https://ip:port, with or without a "
              "path");
    }
    CheckUnique(sides);
  }

  void CheckServices() {
    const json& services = Tables("service");
    for (std::size_t i = 0; i < services.size(); ++i) {
      std::vector<KeyedValue> names;
      const std::string path = ItemPath("service", i) + ".calls";
      const json& calls = services[i].at("calls");
      Require(!calls.empty(), path, "must hold at least one call");
      for (std::size_t c = 0; c < calls.size(); ++c) {
        const std::string key = path + "[" + std::to_string(c) + "].name";
        const std::string name = calls[c].at("name");
        Require(IsName(name), key,
                "must be 1 to 128 letters, digits, '-', '_', '.' or ':'");
        names.push_back({key, name});
      }
      CheckUnique(names);
    }
  }

  void CheckRemovedReferences() {
    std::set<std::pair<std::string, std::string>> removed;
    for (const json& removal : Tables("remove")) {
      removed.emplace(removal.at("kind").get<std::string>(),
                      removal.at("name").get<std::string>());
    }
    const auto check = [&](const char* kind, const char* field) {
      for (const KeyedValue& entry : Values(kind, field)) {
        Require(removed.count({field, entry.value}) == 0, entry.key,
                "this ticket removes it");
      }
    };
    check("backend_server", "pool");
    check("backend_server", "failure_domain");
    check("service", "pool");
  }

  const json& m_root;
  std::string m_file;
  const TomlLines& m_lines;
  std::vector<TomlProblem> m_problems;
};

}  // namespace

std::vector<TomlProblem> CheckTicketValues(const nlohmann::json& root,
                                           const std::string& file,
                                           const TomlLines& lines) {
  return ValueChecker(root, file, lines).Check();
}

}  // namespace wasabiwall::protocol
