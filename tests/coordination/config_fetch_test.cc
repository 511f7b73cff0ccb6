#include "wasabiwall/coordination/config_fetch.h"

#include <rapidcheck/catch.h>

#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <optional>

namespace wasabiwall::coordination {

namespace {

constexpr std::size_t kProcesses = 4;
constexpr std::size_t kSmallReplyBytes = 150;

state::ConfigItem FailureDomainItem(int name, std::int64_t revision) {
  state::ConfigItem item;
  item.kind = state::ItemKind::kFailureDomain;
  item.name = std::to_string(name);
  item.ticket = revision;
  item.revision = revision;
  item.state = nlohmann::json::object();
  item.deleted = revision % 5 == 0;
  return item;
}

/// A process with at most one fetch in progress.
struct Process {
  state::ConfigStore config;
  std::optional<ConfigFetch> fetch;
  std::size_t source = 0;
  std::optional<protocol::gen::ItemsReply> pending_reply;
};

}  // namespace

TEST_CASE("a process has all items up to its configuration revision",
          "[config_fetch][fuzz]") {
  rc::prop("no gap after partial, lost, repeated and delayed replies", [] {
    using Command = std::tuple<int, int, int>;
    const auto commands = *rc::gen::container<std::vector<Command>>(
        300, rc::gen::tuple(rc::gen::inRange(0, 10), rc::gen::inRange(0, 4),
                            rc::gen::inRange(0, 12)));
    std::map<std::int64_t, std::vector<state::ConfigItem>> accepted;
    std::array<Process, kProcesses> processes;
    std::int64_t revision = 0;
    for (const auto& [command, who, detail] : commands) {
      Process& process = processes.at(static_cast<std::size_t>(who));
      if (command == 0) {
        // A ticket with one item, or with several at one revision.
        ++revision;
        const int count = detail % 4 == 0 ? 6 : 1;
        for (int i = 0; i < count; ++i) {
          accepted[revision].push_back(
              FailureDomainItem((detail + i) % 12, revision));
        }
      } else if (command == 1 && who == 0) {
        std::vector<state::ConfigItem> items;
        const auto from = accepted.upper_bound(process.config.Revision());
        for (auto ticket = from; ticket != accepted.end(); ++ticket) {
          items.insert(items.end(), ticket->second.begin(),
                       ticket->second.end());
        }
        process.config.Apply(items, revision);
      } else if (command == 2 || !process.fetch) {
        process.fetch.emplace(&process.config);
        process.source = static_cast<std::size_t>(detail) % kProcesses;
        process.pending_reply.reset();
      } else if (process.pending_reply && command > 3) {
        const bool more = process.fetch->OnReply(*process.pending_reply);
        process.pending_reply.reset();
        if (!more) process.fetch.reset();
      } else {
        process.pending_reply =
            BuildItemsReply(processes.at(process.source).config,
                            process.fetch->NextRequest(), kSmallReplyBytes);
      }
      for (const Process& each : processes) {
        std::map<std::string, std::int64_t> held;
        for (const auto& item : each.config.ItemsSince(0)) {
          held[item.name] = item.ticket;
        }
        for (const auto& [at, items] : accepted) {
          if (at > each.config.Revision()) break;
          for (const auto& item : items) RC_ASSERT(held[item.name] >= at);
        }
      }
    }
    // Without further changes, one fetch brings each process up to date.
    for (std::size_t i = 1; i < kProcesses; ++i) {
      ConfigFetch fetch(&processes.at(i).config);
      while (fetch.OnReply(BuildItemsReply(
          processes.at(0).config, fetch.NextRequest(), kSmallReplyBytes))) {
      }
      RC_ASSERT(processes.at(i).config.Revision() >=
                processes.at(0).config.Revision());
    }
  });
}

TEST_CASE(
    "the revision does not advance past items that the peer learned between "
    "two replies",
    "[config_fetch]") {
  state::ConfigStore source;
  source.Apply({FailureDomainItem(1, 9), FailureDomainItem(2, 11)}, 0);
  state::ConfigStore config;
  ConfigFetch fetch(&config);
  REQUIRE(fetch.OnReply(BuildItemsReply(source, fetch.NextRequest(), 1)));
  source.Apply({FailureDomainItem(3, 7)}, 11);
  REQUIRE_FALSE(fetch.OnReply(BuildItemsReply(source, fetch.NextRequest(), 1)));
  CHECK(config.Revision() < 7);
}

}  // namespace wasabiwall::coordination
