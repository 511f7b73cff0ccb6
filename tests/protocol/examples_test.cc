#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <string>

#include "wasabiwall/protocol/settings.h"
#include "wasabiwall/protocol/ticket.h"
#include "wasabiwall/state/config_records.h"

namespace wasabiwall::protocol {

namespace {

std::string ReadExample(const std::string& name) {
  std::ifstream file(std::string(WASABIWALL_EXAMPLES) + "/" + name);
  REQUIRE(file);
  return {std::istreambuf_iterator<char>(file), {}};
}

struct ExampleProfile {
  std::string name;
  int control_bytes_per_second;
  std::string policy;
};

}  // namespace

TEST_CASE("the example settings and tickets are valid", "[examples]") {
  const ExampleProfile profiles[] = {{"consortium", 8192, "rendezvous_bounded"},
                                     {"caerwyn", 4096, "rendezvous"}};
  for (const ExampleProfile& profile : profiles) {
    INFO(profile.name);
    const std::string file = profile.name + ".toml";
    const auto settings =
        ParseSettings(ReadExample(file), file, ProcessRole::kEntry);
    REQUIRE(settings);
    CHECK(settings->control_bytes_per_second ==
          profile.control_bytes_per_second);

    const std::string ticket_file = profile.name + "-ticket.toml";
    const auto ticket = ParseTicket(ReadExample(ticket_file), ticket_file);
    REQUIRE(ticket);
    const auto pool = std::find_if(
        ticket->items.begin(), ticket->items.end(), [](const auto& item) {
          return item.kind == state::ItemKind::kPool &&
                 item.name == "assistant";
        });
    REQUIRE(pool != ticket->items.end());
    CHECK(state::ToPool(*pool).policy == profile.policy);
    CHECK(state::ToPool(*pool).load_floor_units == 8000);
  }
}

}  // namespace wasabiwall::protocol
