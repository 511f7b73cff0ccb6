#include "wasabiwall/state/config_store.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>

namespace wasabiwall::state {

namespace {

ConfigItem MakeFailureDomain(const std::string& name, std::int64_t ticket,
                             const std::string& placement) {
  ConfigItem item;
  item.kind = ItemKind::kFailureDomain;
  item.name = name;
  item.ticket = ticket;
  item.revision = ticket;
  item.state = {{"state", placement}};
  return item;
}

}  // namespace

TEST_CASE(
    "an item keeps the state of its newest ticket when items arrive repeatedly "
    "and in any order",
    "[config_store][fuzz]") {
  rc::prop("each item has the state of its newest ticket", [] {
    const auto tickets = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(1, 30)));
    ConfigStore store;
    std::map<int, int> newest;
    for (const auto& [name, ticket] : tickets) {
      store.Apply({MakeFailureDomain(std::to_string(name), ticket, "in")});
      newest[name] = std::max(newest[name], ticket);
      for (const auto& item : store.ItemsSince(0)) {
        RC_ASSERT(item.ticket == newest[std::stoi(item.name)]);
      }
    }
    RC_ASSERT(store.ItemsSince(0).size() == newest.size());
  });
}

TEST_CASE("a deleted item stays listed and no older ticket restores it",
          "[config_store]") {
  ConfigStore store;
  store.Apply({MakeFailureDomain("a", 1, "in")});
  ConfigItem removal = MakeFailureDomain("a", 2, "in");
  removal.deleted = true;
  store.Apply({removal});
  store.Apply({MakeFailureDomain("a", 1, "in")});
  CHECK(store.View()->failure_domains.empty());
  REQUIRE(store.ItemsSince(1).size() == 1);
  CHECK(store.ItemsSince(1).front().deleted);
}

}  // namespace wasabiwall::state
