#include "clients/client_kinds.h"

#include <algorithm>

namespace wasabiwall::clients {
namespace {

/// A legal size below that from which the gateway refuses single bodies, so
/// that only their number matters.
constexpr std::size_t kBodyBytes = 65000;
constexpr std::size_t kPieceBytes = 600;
constexpr std::size_t kOversizedBytes = 64U << 20U;
constexpr std::size_t kOversizedSent = 6U << 20U;
/// Size of a legal head of one-character fields.
constexpr std::size_t kFieldBytes = 15000;
/// Bytes that a slow client sends or reads in a step.
constexpr std::size_t kSlowBytes = 3;
constexpr std::size_t kSlowReadBytes = 512;

std::string Head(const std::string& method, const std::string& path,
                 const std::string& fields) {
  return method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: c\r\n" +
         fields + "\r\n";
}

std::string LengthHead(Target target, std::size_t length) {
  return Head("POST", PathOf(target),
              "Content-Length: " + std::to_string(length) + "\r\n");
}

std::string Repeated(const std::string& text, std::size_t count) {
  std::string all;
  all.reserve(text.size() * count);
  for (std::size_t i = 0; i < count; ++i) all += text;
  return all;
}

void Add(Crowd* crowd, int count, const ClientPlan& plan) {
  for (int i = 0; i < count; ++i) crowd->Add(plan);
}

/// @return `head`, then `size` bytes that are made when they are sent.
std::function<std::string(std::size_t)> LongInput(const std::string& head,
                                                  const std::string& piece,
                                                  std::size_t size) {
  return [head, piece, size](std::size_t offset) {
    if (offset < head.size()) return head.substr(offset);
    // Pieces are sent in full before the next one is asked for.
    return offset < head.size() + size ? piece : std::string();
  };
}

/// @return Requests whose responses together exceed the gateway's memory, and
/// that it handles within seconds: a readiness page has 75 bytes, the metrics
/// some kilobytes, a response of the route 60,000.
std::size_t PipelinedRequests(Target target) {
  switch (target) {
    case Target::kRoute:
      return 200;
    case Target::kNoRoute:
      return 4000;
    case Target::kReadiness:
      return 8000;
    case Target::kMetrics:
      break;
  }
  return 400;
}

}  // namespace

void AddBodiesInOnePiece(Crowd* crowd, Target target, int count) {
  Add(crowd, count,
      {.input = FixedInput(LengthHead(target, kBodyBytes) +
                           std::string(kBodyBytes - 1, 'b'))});
}

void AddBodiesInSmallPieces(Crowd* crowd, Target target, int count) {
  Add(crowd, count,
      {.input = FixedInput(LengthHead(target, kBodyBytes) +
                           std::string(kBodyBytes - 1, 'b')),
       .bytes_per_step = kPieceBytes});
}

void AddBodiesInChunks(Crowd* crowd, Target target, int count) {
  Add(crowd, count,
      {.input = FixedInput(
           Head("POST", PathOf(target), "Transfer-Encoding: chunked\r\n") +
           Repeated("1\r\nb\r\n", kBodyBytes))});
}

void AddOversizedBodies(Crowd* crowd, Target target, int count) {
  constexpr std::size_t chunk_bytes = 60000;
  const std::string piece(chunk_bytes, 'b');
  Add(crowd, count / 2,
      {.input = LongInput(LengthHead(target, kOversizedBytes), piece,
                          kOversizedSent)});
  Add(crowd, count - count / 2,
      {.input = LongInput(
           Head("POST", PathOf(target), "Transfer-Encoding: chunked\r\n"),
           "ea60\r\n" + piece + "\r\n", kOversizedSent)});
}

void AddManyFields(Crowd* crowd, Target target, int count) {
  const std::string fields = Repeated("a:\r\n", kFieldBytes / 4);
  const std::string whole =
      Head("POST", PathOf(target),
           "Content-Length: " + std::to_string(kPieceBytes) + "\r\n" + fields);
  Add(crowd, count / 2,
      {.input = FixedInput(whole.substr(0, whole.size() - 2))});
  Add(crowd, count - count / 2,
      {.input = FixedInput(whole + std::string(kPieceBytes - 1, 'b'))});
}

void AddNamedFields(Crowd* crowd, Target target, int count) {
  // Half of the bytes name fields, the others are fields that they don't name.
  const std::string names = Repeated("a,", kFieldBytes / 4);
  const std::string fields = Repeated("b:\r\n", kFieldBytes / 8);
  Add(crowd, count,
      {.input = FixedInput(Head("GET", PathOf(target),
                                "Connection: " + names + "a\r\n" + fields))});
}

void AddPipelining(Crowd* crowd, Target target, int count) {
  Add(crowd, count,
      {.input = FixedInput(Repeated(Head("GET", PathOf(target), ""),
                                    PipelinedRequests(target))),
       .reads_per_step = 0});
}

void AddSlowSenders(Crowd* crowd, Target target, int count) {
  Add(crowd, count / 2,
      {.input = FixedInput(LengthHead(target, kBodyBytes) +
                           std::string(kBodyBytes, 'b')),
       .bytes_per_step = kSlowBytes});
  const std::string half = LengthHead(target, kBodyBytes);
  Add(crowd, count - count / 2,
      {.input = FixedInput(half.substr(0, half.size() / 2)),
       .bytes_per_step = kSlowBytes});
}

void AddSlowReaders(Crowd* crowd, Target target, int count) {
  const std::string path =
      target == Target::kRoute ? "/safe/big" : PathOf(target);
  Add(crowd, count,
      {.input = FixedInput(Head("GET", path, "")),
       .reads_per_step = kSlowReadBytes});
}

void AddIdle(Crowd* crowd, Target target, int count) {
  Add(crowd, count / 2, {.input = FixedInput("")});
  Add(crowd, count - count / 2,
      {.input = FixedInput("GET " + PathOf(target) + " HTTP/1.1\r\nHo")});
}

}  // namespace wasabiwall::clients
