#include "quarantine_announcer.h"

#include <catch2/catch.hpp>

#include "fakes/gateway_fixture.h"

namespace wasabiwall::platform {
namespace {

using fakes::GatewayFixture;
using fakes::ScriptedBackend;

TEST_CASE("a quarantine is announced once the store takes it") {
  GatewayFixture fleet;
  int refusals = 2;
  std::vector<std::string> written;
  int leases = 0;
  ScriptedBackend store(
      &fleet.loop, [&](const ScriptedBackend::Received& call) {
        if (refusals-- > 0) {
          call.session->Write(fakes::PlainAnswer("", 503, ""));
        } else if (call.head.target == "/api/kv-lease") {
          ++leases;
          call.session->Write(
              fakes::PlainAnswer("", 200, R"({"lease":7,"ttl_ms":600000})"));
        } else {
          written.push_back(call.body);
          call.session->Write(fakes::PlainAnswer("", 200, R"({"revision":9})"));
        }
      });
  StoreClient client(&fleet.loop, store.Address());
  QuarantineAnnouncer announcer(&fleet.loop, &client, "g1");
  announcer.Announce("first");
  announcer.Announce("second");
  REQUIRE(fleet.RunUntil([&] { return written.size() == 2; }));
  CHECK(written[0].find("wasabiwall/quarantine/first") != std::string::npos);
  CHECK(written[0].find(R"("lease":7)") != std::string::npos);
  CHECK(written[1].find("wasabiwall/quarantine/second") != std::string::npos);
  CHECK(leases == 1);
}

}  // namespace
}  // namespace wasabiwall::platform
