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

}  // namespace
}  // namespace wasabiwall::platform
