#include "wasabiwall/protocol/ticket.h"

#include <catch2/catch.hpp>

namespace wasabiwall::protocol {

namespace {

struct InvalidTicket {
  std::string body;
  int line;
  std::string key;
  std::string reason;
};

const std::string kDigest(64, 'a');
const std::string kWorkspace =
    "[[workspace]]\nname = 'a'\ntoken_digest = '" + kDigest + "'\n";
const std::string kServer =
    "[[backend_server]]\nname = 's'\npool = 'p'\nfailure_domain = 'd'\n";

}  // namespace

TEST_CASE("problems in tickets report file, line, key and reason", "[ticket]") {
  const InvalidTicket cases[] = {
      {"", 1, "", "touches no item"},
      {"[[failure_domain]]\nname = 'a/b'\n", 4, "failure_domain[0].name",
       "letters"},
      {"[[workspace]]\nname = 'a'\ntoken_digest = 'xyz'\n", 5,
       "workspace[0].token_digest", "SHA-256"},
      {kWorkspace + "[[workspace]]\nname = 'b'\ntoken_digest = '" + kDigest +
           "'\n",
       8, "workspace[1].token_digest", "workspace[0].token_digest in line 5"},
      {"[[failure_domain]]\nname = 'a'\n[[failure_domain]]\nname = 'a'\n", 6,
       "failure_domain[1].name", "the same as"},
      {kWorkspace + "[[remove]]\nkind = 'workspace'\nname = 'a'\n", 8,
       "remove[0].name", "the same as"},
      {"[[pool]]\nname = 'p'\nkind = 'model'\nmodels = ['m', 'm']\n", 6,
       "pool[0].models", "the same as"},
      {"[[pool]]\nname = 'p'\nkind = 'model'\nmodels = ['m']\n"
       "[[pool]]\nname = 'q'\nkind = 'model'\nmodels = ['m']\n",
       10, "pool[1].models", "pool[0].models in line 6"},
      {"[[pool]]\nname = 'p'\nkind = 'service'\nmodels = ['m']\n", 6,
       "pool[0].models", "serves no models"},
      {"[[pool]]\nname = 'p'\nkind = 'model'\nload_floor_units = 9\n"
       "load_ceiling_units = 8\n",
       6, "pool[0].load_floor_units", "load_ceiling_units"},
      {kServer + "side = '1.2.3.4'\nurl = 'http://1.2.3.4:5'\n", 7,
       "backend_server[0].side", "ip:port"},
      {kServer + "side = '1.2.3.4:70000'\nurl = 'http://1.2.3.4:5'\n", 7,
       "backend_server[0].side", "ip:port"},
      {kServer + "side = '1.2.3.4:7'\nurl = 'ftp://1.2.3.4:5'\n", 8,
       "backend_server[0].url", "http://"},
      {"[[service]]\nname = 's'\npool = 'p'\ncalls = []\n", 6,
       "service[0].calls", "at least one"},
      {"[[service]]\nname = 's'\npool = 'p'\n"
       "calls = [{name = 'c'}, {name = 'c'}]\n",
       6, "service[0].calls[1].name", "calls[0].name in line 6"},
      {"[[service]]\nname = 's'\npool = 'p'\ncalls = [{name = 'c'}]\n"
       "[[remove]]\nkind = 'pool'\nname = 'p'\n",
       5, "service[0].pool", "removes"},
  };
  for (const InvalidTicket& invalid : cases) {
    INFO(invalid.body);
    const auto ticket =
        ParseTicket("ticket = 1\nauthor = 'x'\n" + invalid.body, "t.toml");
    REQUIRE_FALSE(ticket);
    REQUIRE(ticket.error().size() == 1);
    const TomlProblem& problem = ticket.error().front();
    CHECK(problem.file == "t.toml");
    CHECK(problem.line == invalid.line);
    CHECK(problem.key == invalid.key);
    CHECK(problem.reason.find(invalid.reason) != std::string::npos);
  }
}

}  // namespace wasabiwall::protocol
