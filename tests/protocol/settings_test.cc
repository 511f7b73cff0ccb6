#include "wasabiwall/protocol/settings.h"

#include <catch2/catch.hpp>
#include <string>

namespace wasabiwall::protocol {

namespace {

const std::string kValidSettings = R"([process]
name = "entry-1"
failure_domain = "a"
[listen]
http = "127.0.0.1:1"
peer = "127.0.0.1:2"
[platform]
key_value_url = "http://127.0.0.1:3"
vm_list_url = "http://127.0.0.1:4"
[security]
secret = "s"
)";

struct InvalidSettings {
  std::string extra;
  int line;
  std::string key;
  std::string reason;
};

}  // namespace

TEST_CASE("valid settings are parsed", "[settings]") {
  const auto settings =
      ParseSettings(kValidSettings + "[limits]\nlease_ttl_ms = 2000\n",
                    "f.toml", ProcessRole::kEntry);
  REQUIRE(settings);
  CHECK(settings->name == "entry-1");
  CHECK(settings->lease_ttl == std::chrono::milliseconds(2000));
}

TEST_CASE("problems in settings report file, line, key and reason",
          "[settings]") {
  const InvalidSettings cases[] = {
      {"[limits]\nlease = 1\n", 13, "limits.lease", "unknown key; allowed:"},
      {"[limits]\nlease_ttl_ms = \"x\"\n", 13, "limits.lease_ttl_ms",
       "must be an integer"},
      {"[limits]\nlease_ttl_ms = 5\n", 13, "limits.lease_ttl_ms",
       "must be between 1000 and 60000"},
      {"[limits\n", 12, "", ""},
  };
  for (const InvalidSettings& invalid : cases) {
    INFO(invalid.extra);
    const auto settings = ParseSettings(kValidSettings + invalid.extra,
                                        "f.toml", ProcessRole::kEntry);
    REQUIRE_FALSE(settings);
    const TomlProblem& problem = settings.error().front();
    CHECK(problem.file == "f.toml");
    CHECK(problem.line == invalid.line);
    CHECK(problem.key == invalid.key);
    CHECK(problem.reason.find(invalid.reason) != std::string::npos);
  }
}

TEST_CASE("a side process requires the backend_server setting", "[settings]") {
  const auto settings =
      ParseSettings(kValidSettings, "f.toml", ProcessRole::kSide);
  REQUIRE_FALSE(settings);
  CHECK(settings.error().front().key == "process.backend_server");
}

}  // namespace wasabiwall::protocol
