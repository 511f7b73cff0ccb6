// The section [rollout] of a gateway's settings.
#include <catch2/catch.hpp>
#include <string>

#include "wasabiwall/protocol/gateway_settings.h"

namespace wasabiwall::protocol {
namespace {

const std::string kBasics = R"(
[process]
name = "g"
failure_domain = "z"
[listen]
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
[store]
address = "127.0.0.1:3"
)";

TEST_CASE("roll-outs are disabled unless their bounds are set") {
  const auto without = ParseGatewaySettings(kBasics, "f");
  REQUIRE(without);
  CHECK_FALSE(without->rollout);
  const auto with = ParseGatewaySettings(
      kBasics +
          "[rollout]\nexposure_ratio = 0.1\nexposure_tolerance = 50\n"
          "rollback_ms = 4000\n",
      "f");
  REQUIRE(with);
  REQUIRE(with->rollout);
  CHECK(with->rollout->exposure_ratio == 0.1);
  CHECK(with->rollout->exposure_tolerance == 50);
  CHECK(with->rollout->rollback_time == std::chrono::milliseconds(4000));
  // Bounds without a ratio are a mistake.
  CHECK_FALSE(
      ParseGatewaySettings(kBasics + "[rollout]\nrollback_ms = 4000\n", "f"));
}

}  // namespace
}  // namespace wasabiwall::protocol
