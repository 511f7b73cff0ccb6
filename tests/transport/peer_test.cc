#include <atomic>
#include <catch2/catch.hpp>

#include "fakes/test_port.h"
#include "wasabiwall/transport/peer_client.h"
#include "wasabiwall/transport/peer_server.h"

namespace wasabiwall::transport {
namespace {

namespace gen = protocol::gen;
using coordination::DeliveryFailure;

constexpr std::chrono::milliseconds kTimeout{5000};

/// A peer server that counts what its handlers see.
class CountingPeer {
 public:
  explicit CountingPeer(int port)
      : m_server(fakes::TestAddress(port), "the fleet's secret",
                 MakeHandlers()) {
    REQUIRE(m_server.Start());
  }

  int Calls() const { return m_calls; }
  int Envelopes() const { return m_envelopes; }

 private:
  PeerHandlers MakeHandlers() {
    PeerHandlers handlers;
    handlers.submit = [this](const auto&) {
      ++m_calls;
      gen::SubmitReply reply;
      reply.admitted = true;
      return reply;
    };
    handlers.pull = [this](const auto&) { return ++m_calls, gen::PullReply(); };
    handlers.tombstone = [this](const auto&) {
      ++m_calls;
      gen::TombstoneReply reply;
      reply.never_started = true;
      return reply;
    };
    handlers.items_since = [this](const auto&) {
      ++m_calls;
      gen::ItemsReply reply;
      reply.items.resize(1);
      return reply;
    };
    handlers.status = [this](const auto&) {
      ++m_calls;
      gen::StatusReply reply;
      reply.process = "secret name";
      return reply;
    };
    handlers.on_envelope = [this](const auto&) { ++m_envelopes; };
    handlers.make_envelope = [](const auto&, bool) { return gen::Envelope(); };
    return handlers;
  }

  std::atomic<int> m_calls{0};
  std::atomic<int> m_envelopes{0};
  PeerServer m_server;
};

}  // namespace

TEST_CASE("messages without the secret reach no handler", "[peer]") {
  CountingPeer peer(4);
  PeerClient client(kTimeout, kTimeout);
  const std::string address = fakes::TestAddress(4);
  for (const std::string secret : {"", "wrong", "the fleet's secret "}) {
    INFO(secret);
    gen::Envelope envelope;
    envelope.secret = secret;
    gen::SubmitRequest submit;
    submit.envelope = envelope;
    const auto submitted = client.Submit(address, submit);
    REQUIRE(submitted);
    CHECK_FALSE(submitted->admitted);
    CHECK(submitted->error_kind == "unauthenticated_peer");
    gen::PullRequest pull;
    pull.envelope = envelope;
    CHECK(client.Pull(address, pull)->error_kind == "unauthenticated_peer");
    gen::TombstoneRequest tombstone;
    tombstone.envelope = envelope;
    CHECK_FALSE(client.Tombstone(address, tombstone)->never_started);
    gen::ItemsRequest items;
    items.envelope = envelope;
    CHECK(client.ItemsSince(address, items)->items.empty());
    gen::StatusRequest status;
    status.envelope = envelope;
    CHECK(client.Status(address, status)->process.empty());
  }
  CHECK(peer.Calls() == 0);
  CHECK(peer.Envelopes() == 0);
  gen::SubmitRequest right;
  right.envelope.secret = "the fleet's secret";
  CHECK(client.Submit(address, right)->admitted);
}

TEST_CASE("a message that cannot have arrived is told apart", "[peer]") {
  PeerClient client(kTimeout, kTimeout);
  const auto refused = client.Submit(fakes::TestAddress(5), {});
  REQUIRE_FALSE(refused);
  CHECK(refused.error() == DeliveryFailure::kNotDelivered);
  const auto malformed = client.Submit("no port", {});
  REQUIRE_FALSE(malformed);
  CHECK(malformed.error() == DeliveryFailure::kNotDelivered);
}

TEST_CASE("a connection closed by a replaced process is not used again",
          "[peer]") {
  PeerClient client(kTimeout, kTimeout);
  gen::SubmitRequest request;
  request.envelope.secret = "the fleet's secret";
  for (int i = 0; i < 3; ++i) {
    CountingPeer peer(6);
    CHECK(client.Submit(fakes::TestAddress(6), request));
    CHECK(peer.Calls() == 1);
  }
}

}  // namespace wasabiwall::transport
