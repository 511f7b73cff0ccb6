// Header fields that concern one connection only, in heads made to be costly.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "wasabiwall/transport/header_name_set.h"
#include "wasabiwall/transport/http1_message.h"

namespace wasabiwall::transport {
namespace {

TEST_CASE("fields that Connection names are removed however they are written") {
  HeaderList headers;
  headers.Add("Connection", "keep-alive, X-One ,,x-TWO");
  headers.Add("x-one", "1");
  headers.Add("X-Two", "2");
  headers.Add("X-Three", "3");
  headers.Add("connection", "\tx-four");
  headers.Add("X-FOUR", "4");
  headers.Add("Content-Length", "5");
  headers.Add("", "nameless");
  headers.RemoveHopByHop();
  REQUIRE(headers.Fields().size() == 1);
  CHECK(headers.Fields().front().name == "X-Three");
}

// Looking up each field among all names took seconds for a few requests.
TEST_CASE("names and fields are compared about once each") {
  constexpr std::size_t count = 8000;
  std::vector<std::string> names;
  for (std::size_t i = 0; i < count; ++i) {
    names.push_back("x" + std::to_string(i));
  }
  HeaderNameSet set;
  for (const std::string& name : names) set.Insert(name);
  for (const std::string& name : names) {
    CHECK(set.Contains("X" + name.substr(1)));
    CHECK_FALSE(set.Contains("y" + name));
  }
  // Few names share a hash.
  CHECK(set.Comparisons() <= 2 * count);
}

}  // namespace
}  // namespace wasabiwall::transport
