// Cost of reading requests of clients: an ordinary head, one of very many short
// fields, and pipelined requests.
#include <benchmark/benchmark.h>

#include <string>

#include "wasabiwall/transport/http1_parser.h"

namespace wasabiwall::transport {
namespace {

std::string RequestWith(int fields, const std::string& field) {
  std::string text = "GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n";
  for (int i = 0; i < fields; ++i) text += field;
  return text + "\r\n";
}

void Feed(benchmark::State& state, const std::string& input, int requests) {
  int complete = 0;
  Http1Parser parser(Http1Parser::Kind::kRequests,
                     {.on_head =
                          [](MessageHead head) {
                            benchmark::DoNotOptimize(head);
                            return true;
                          },
                      .on_body = [](std::string_view) {},
                      .on_complete =
                          [&] {
                            ++complete;
                            parser.Pause();
                          }});
  for (auto _ : state) {
    std::string_view rest = input;
    // One request at a time, as a connection reads them.
    for (int i = 0; i < requests; ++i) {
      std::size_t consumed = 0;
      parser.Feed(rest, &consumed);
      rest.remove_prefix(consumed);
      parser.Resume();
    }
  }
  state.SetItemsProcessed(complete);
}

void OrdinaryHead(benchmark::State& state) {
  Feed(state, RequestWith(8, "Some-Field: a value of usual length\r\n"), 1);
}
BENCHMARK(OrdinaryHead);

void HeadOfShortFields(benchmark::State& state) {
  Feed(state, RequestWith(3750, "a:\r\n"), 1);
}
BENCHMARK(HeadOfShortFields);

void PipelinedRequests(benchmark::State& state) {
  constexpr int requests = 400;
  std::string input;
  for (int i = 0; i < requests; ++i) input += RequestWith(0, "");
  Feed(state, input, requests);
}
BENCHMARK(PipelinedRequests);

}  // namespace
}  // namespace wasabiwall::transport

BENCHMARK_MAIN();
