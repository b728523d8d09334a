// Seeded random event streams, split anywhere and cut off. QH_FUZZ_RUNS sets
// the number of streams of a longer run, QH_FUZZ_SEED its seed.

#include <catch2/catch.hpp>
#include <cstdlib>

#include "qh_core/random/rng.h"
#include "qh_gateway/decisions/streams/event_splitter.h"

namespace qh {
namespace {

constexpr uint64_t kRuns = 3'000;

uint64_t FromEnvironment(const char* name, uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

std::string RandomStream(Rng& rng) {
  static const std::vector<std::string> parts = {
      "id: 7\n",    "id:\n", "id: 8\r\n", "data: x\n", "data: y\r\n",
      "\n",         "\r\n",  "\n\n",      "\r\r",      ":\n",
      "event: z\n", "id",    ": 9\n",     "\r\n\r",    std::string("\0", 1)};
  std::string stream;
  for (uint64_t i = rng.Below(40); i > 0; --i) {
    stream += rng.Chance(0.05)
                  ? std::string(1, static_cast<char>(rng.Below(256)))
                  : parts[rng.Below(parts.size())];
  }
  return stream;
}

std::string FeedInPieces(EventSplitter& splitter,
                         std::string_view stream,
                         Rng& rng,
                         size_t max_piece) {
  std::string events;
  while (!stream.empty()) {
    const size_t size =
        std::min<size_t>(1 + rng.Below(max_piece), stream.size());
    events += splitter.Feed(stream.substr(0, size));
    stream.remove_prefix(size);
  }
  return events;
}

}  // namespace

// Guards against events that are changed, lost or repeated where a network or a
// server cuts a stream.
TEST_CASE("random event streams are split the same however they arrive") {
  const uint64_t seed = FromEnvironment("QH_FUZZ_SEED", 1);
  const uint64_t runs = FromEnvironment("QH_FUZZ_RUNS", kRuns);
  for (uint64_t run = 0; run < runs; ++run) {
    Rng rng(seed, run);
    const std::string stream = RandomStream(rng);
    CAPTURE(seed, run, stream);
    EventSplitter whole;
    EventSplitter pieces;
    const std::string events = whole.Feed(stream);
    REQUIRE(FeedInPieces(pieces, stream, rng, 5) == events);
    REQUIRE(pieces.last_id() == whole.last_id());
    REQUIRE(pieces.events() == whole.events());
    // Nothing is changed, and what isn't complete is held.
    REQUIRE(stream.substr(0, events.size()) == events);
    REQUIRE(whole.partial_size() == stream.size() - events.size());
    whole.Restart();
    REQUIRE_FALSE(whole.has_partial());
    FeedInPieces(whole, stream, rng, 5);
    REQUIRE(whole.partial_size() <= stream.size());
  }
}

}  // namespace qh
