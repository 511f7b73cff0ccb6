#include <catch2/catch.hpp>

#include "platform_call_codec.h"

namespace wasabiwall::platform {
namespace {

transport::ReplyMetadata Decode(int status, const std::string& name,
                                const std::string& value) {
  transport::MessageHead head;
  head.status = status;
  head.headers.Add(name, value);
  return MakeCallCodec().decode_reply(head);
}

TEST_CASE("a backend server announces in any response that it leaves") {
  CHECK(Decode(200, "Server-Leaving", "1").leaving);
  CHECK(Decode(503, "server-leaving", "1").leaving);
  CHECK_FALSE(Decode(200, "Server-Leaving", "0").leaving);
  CHECK_FALSE(Decode(200, "X-Instance-Load", "1,0,8").leaving);
}

TEST_CASE("a backend server that turns a call away may ask for quiet") {
  using std::chrono::milliseconds;
  CHECK(Decode(503, "Retry-After", "2").hold_off == milliseconds(2000));
  CHECK(Decode(503, "Retry-After", "0.25").hold_off == milliseconds(250));
  CHECK(Decode(503, "Retry-After", "0").hold_off == milliseconds(0));
  CHECK(Decode(503, "Retry-After", "1e300").hold_off >
        std::chrono::hours(24 * 365));
  CHECK_FALSE(Decode(200, "Retry-After", "2").hold_off);
  CHECK_FALSE(Decode(503, "X-Not-Executed", "1").hold_off);
  for (const std::string value : {"", "-1", "soon", "2s", "nan", "inf",
                                  "Fri, 04 Dec 2026 09:00:00 GMT"}) {
    CAPTURE(value);
    CHECK_FALSE(Decode(503, "Retry-After", value).hold_off);
    CHECK_FALSE(Decode(503, "Retry-After", value).unreadable_hold_off.empty());
    CHECK(Decode(200, "Retry-After", value).unreadable_hold_off.empty());
  }
}

}  // namespace
}  // namespace wasabiwall::platform
