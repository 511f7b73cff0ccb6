#include "wasabiwall/protocol/crash_message.h"

#include <catch2/catch.hpp>
#include <random>

#include "wasabiwall/protocol/prompt_directory_message.h"

namespace wasabiwall::protocol {
namespace {

CrashMessage MakeMessage(std::size_t requests) {
  CrashMessage message{.crash = -7, .age = std::chrono::milliseconds(12)};
  message.fingerprints.assign(requests, std::string(32, 'f'));
  message.sent_ages.assign(requests, std::chrono::minutes(10));
  return message;
}

TEST_CASE("a crash message survives its encoding and fits into a datagram",
          "[crash_message]") {
  constexpr std::size_t datagram_bytes = 1400;
  CrashMessage message = MakeMessage(kMaxCrashMessageRequests);
  message.kind = GENERATE(
      CrashMessage::Kind::kCrash, CrashMessage::Kind::kCrashEstablished,
      CrashMessage::Kind::kEstablished, CrashMessage::Kind::kAttributed,
      CrashMessage::Kind::kAnswered, CrashMessage::Kind::kQuarantined);
  if (message.kind == CrashMessage::Kind::kQuarantined ||
      message.kind == CrashMessage::Kind::kAttributed) {
    message.fingerprints.resize(1);
    message.sent_ages.clear();
    message.caused_crashes.assign(kMaxCausedCrashes, -7);
  }
  const std::string bytes = EncodeCrashMessage(message);
  CHECK(bytes.size() <= datagram_bytes);
  const auto decoded = DecodeCrashMessage(bytes);
  REQUIRE(decoded);
  CHECK(decoded->kind == message.kind);
  CHECK(decoded->crash == message.crash);
  CHECK(decoded->age == message.age);
  CHECK(decoded->fingerprints == message.fingerprints);
  CHECK(decoded->caused_crashes == message.caused_crashes);
  CHECK(decoded->sent_ages == message.sent_ages);
}

TEST_CASE("malformed crash messages are rejected", "[crash_message]") {
  const std::string good = EncodeCrashMessage(MakeMessage(2));
  for (std::size_t size = 0; size < good.size(); ++size) {
    CHECK_FALSE(DecodeCrashMessage(good.substr(0, size)));
  }
  CHECK_FALSE(DecodeCrashMessage("HTTP/1.1 200 OK"));
  CHECK_FALSE(DecodeCrashMessage(
      EncodeCrashMessage(MakeMessage(kMaxCrashMessageRequests + 1))));
  CrashMessage many_crashes = MakeMessage(1);
  many_crashes.caused_crashes.assign(kMaxCausedCrashes + 1, 1);
  CHECK_FALSE(DecodeCrashMessage(EncodeCrashMessage(many_crashes)));
  CrashMessage uneven = MakeMessage(2);
  uneven.sent_ages.pop_back();
  CHECK_FALSE(DecodeCrashMessage(EncodeCrashMessage(uneven)));
  CrashMessage unsent = MakeMessage(1);
  unsent.sent_ages.front() = std::chrono::milliseconds(-1);
  CHECK_FALSE(DecodeCrashMessage(EncodeCrashMessage(unsent)));
  CrashMessage future = MakeMessage(1);
  future.age = std::chrono::milliseconds(-1);
  CHECK_FALSE(DecodeCrashMessage(EncodeCrashMessage(future)));
  std::mt19937 random(20261204);
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = good;
    bytes[random() % bytes.size()] = static_cast<char>(random());
    DecodeCrashMessage(bytes);
  }
}

TEST_CASE("the two messages between gateways are told apart",
          "[crash_message]") {
  CHECK_FALSE(DecodePromptDirectoryMessage(EncodeCrashMessage(MakeMessage(1))));
  CHECK_FALSE(DecodeCrashMessage(
      EncodePromptDirectoryMessage({.part = 7, .holders = {}})));
}

}  // namespace
}  // namespace wasabiwall::protocol
