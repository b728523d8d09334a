// Seeded random requests, mutated and split anywhere. QH_FUZZ_RUNS sets the
// number of requests of a longer run, QH_FUZZ_SEED its seed.

#include <catch2/catch.hpp>
#include <cstdlib>

#include "qh_core/random/rng.h"
#include "qh_net/http_parser.h"

namespace qh {
namespace {

constexpr uint64_t kRuns = 3'000;
// Heads stay below the limit: one above it is refused only if it arrives in
// pieces.
constexpr ParserLimits kLimits{.header_bytes = 2'048, .body_bytes = 4'096};
// What the parser may hold: fields of three bytes each with the growth of their
// list, the body, and framing.
constexpr size_t kMaxHeld = size_t{1} << 18U;

uint64_t FromEnvironment(const char* name, uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

std::string Letters(Rng& rng, size_t below) {
  std::string text(rng.Below(below), 'a');
  for (char& letter : text) {
    letter = static_cast<char>('a' + rng.Below(26));
  }
  return text;
}

std::string RandomHead(Rng& rng) {
  std::string head = rng.Chance(0.5) ? "GET /" : "POST /";
  head += Letters(rng, 40) + " HTTP/1.1\r\n";
  const uint64_t fields = rng.Chance(0.05) ? rng.Below(50) : rng.Below(8);
  for (uint64_t i = 0; i < fields; ++i) {
    head += "x" + Letters(rng, 4) + ":" + Letters(rng, 20) + "\r\n";
  }
  return head;
}

std::string RandomChunks(Rng& rng) {
  std::string body;
  const uint64_t chunks = rng.Below(6);
  for (uint64_t i = 0; i < chunks; ++i) {
    const std::string bytes = "x" + Letters(rng, 200);
    std::string size(16, '\0');
    size.resize(static_cast<size_t>(
        std::snprintf(size.data(), size.size(), "%zx", bytes.size())));
    body += size + (rng.Chance(0.1) ? ";" + Letters(rng, 9) : "") + "\r\n" +
            bytes + "\r\n";
  }
  return body + "0\r\n" + (rng.Chance(0.2) ? "t: u\r\n" : "") + "\r\n";
}

std::string RandomRequest(Rng& rng) {
  const std::string head = RandomHead(rng);
  switch (rng.Below(3)) {
    case 0:
      return head + "\r\n";
    case 1: {
      const std::string body = Letters(rng, rng.Chance(0.1) ? 5'000 : 300);
      return head + "Content-Length: " + std::to_string(body.size()) +
             "\r\n\r\n" + body;
    }
    default:
      return head + "Transfer-Encoding: chunked\r\n\r\n" + RandomChunks(rng);
  }
}

// Changes, removes, repeats or adds some bytes.
void Mutate(std::string& text, Rng& rng) {
  constexpr std::string_view kTelling = "\r\n:; 0fF,\t\0x";
  for (uint64_t i = rng.Below(4); i > 0 && !text.empty(); --i) {
    const size_t at = rng.Below(text.size());
    const char byte = rng.Chance(0.7) ? kTelling[rng.Below(kTelling.size())]
                                      : static_cast<char>(rng.Below(256));
    switch (rng.Below(4)) {
      case 0:
        text[at] = byte;
        break;
      case 1:
        text.erase(at, 1 + rng.Below(8));
        break;
      case 2:
        text.insert(at, 1 + rng.Below(8), byte);
        break;
      default:
        text.insert(at, text.substr(at, 1 + rng.Below(64)));
        break;
    }
  }
}

// The requests that a parser reads from `text`. Whether malformed bytes after
// them are refused at once or taken for a head that isn't complete depends on
// the pieces: Beast searches the end of a head in each piece.
std::string ReadAll(const std::string& text, Rng& rng, size_t max_piece) {
  HttpParser parser(MessageKind::kRequest, kLimits);
  std::string seen;
  bool good = true;
  for (size_t at = 0; good && at < text.size();) {
    const size_t size = 1 + rng.Below(max_piece);
    good = bool(parser.Feed(std::string_view(text).substr(at, size)));
    at += size;
    REQUIRE(parser.held_bytes() < kMaxHeld + text.size() * 2);
    while (good && parser.done()) {
      seen += parser.head().method + parser.head().target;
      for (const HttpField& field : parser.head().fields) {
        seen += "|" + field.name + "=" + field.value;
      }
      seen += "|" + parser.TakeBody() + "\n";
      good = bool(parser.Next());
    }
  }
  if (!good) {
    REQUIRE(parser.held_bytes() == 0);
  }
  return seen;
}

}  // namespace

// Guards against crashes, unbounded memory, and a reading of a request that
// depends on how the network has split it.
TEST_CASE("random requests are read the same however they are split") {
  const uint64_t seed = FromEnvironment("QH_FUZZ_SEED", 1);
  const uint64_t runs = FromEnvironment("QH_FUZZ_RUNS", kRuns);
  for (uint64_t run = 0; run < runs; ++run) {
    Rng rng(seed, run);
    std::string text = RandomRequest(rng);
    if (rng.Chance(0.7)) {
      Mutate(text, rng);
    }
    text += rng.Chance(0.5) ? RandomRequest(rng) : "";
    CAPTURE(seed, run, text);
    const std::string whole = ReadAll(text, rng, 8);
    REQUIRE(ReadAll(text, rng, 1) == whole);
    REQUIRE(ReadAll(text, rng, text.size() + 1) == whole);
  }
}

}  // namespace qh
