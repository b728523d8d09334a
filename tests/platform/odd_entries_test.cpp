// One odd entry among those of the servers, by another writer: it names no
// server, and the entries beside it hold.

#include <catch2/catch.hpp>

#include "platform/platform_codec.h"
#include "qh_core/random/rng.h"
#include "qh_core/text/bounded_json.h"
#include "qh_gateway/control/peer_heartbeat.h"

namespace qh {
namespace {

const WireCodec& Codec() {
  static const WireCodec codec = platform::MakeCodec();
  return codec;
}

// Returns a registration with `more` members, or others instead of its own.
std::string Registration(const std::string& slots = "4",
                         const std::string& address = "10.0.0.1:80",
                         const std::string& more = "") {
  return R"({"service":"s","address":")" + address +
         R"(","zone":"z","slots":)" + slots + R"(,"state":"ready")" + more +
         "}";
}

std::string Object(const std::string& name, const std::string& spec) {
  return R"({"metadata":{"name":")" + name + R"(","revision":3},"spec":)" +
         spec + "}";
}

std::string Repeated(const std::string& text, size_t times) {
  std::string all;
  for (size_t i = 0; i < times; ++i) {
    all += text;
  }
  return all;
}

std::string Nested(size_t levels) {
  return Repeated("[", levels) + Repeated("]", levels);
}

std::string NestedObjects(size_t levels) {
  return Repeated(R"({"a":)", levels) + "1" + Repeated("}", levels);
}

// Specs that are odd, each in its own way.
std::vector<std::string> OddSpecs() {
  return {Nested(1'000),
          Nested(100'000),
          NestedObjects(100'000),
          Registration("4", "10.0.0.1:80", ",\"x\":" + Nested(1'000'000)),
          Registration("1e999"),
          Registration("4", "10.0.0.1:80", ",\"x\":-1e999"),
          Registration("4", "10.0.0.1:80", ",\"x\":\"\xff\xfe\""),
          Registration("4", "10.0.0.1:80", ",\"\xc3\":1"),
          Registration("1e300"),
          Registration("-1"),
          Registration("4294967296"),
          Registration("99999999999999999999"),
          Registration("4.5"),
          Registration("\"4\""),
          Registration("4", "10.0.0.1:0"),
          Registration("4", "10.0.0.1:65616"),
          Registration("4", "10.0.0.1:-1"),
          Registration("4", "10.0.0.1"),
          Registration("4", "10.0.0.1:80", ",\"born\":1e300"),
          Registration("4", "10.0.0.1:80", ",\"born\":-5"),
          Registration("4", "10.0.0.1:80", ",\"leaves_ms\":\"soon\""),
          "tru",
          "[1,2",
          "\"]}\"",
          "nul"};
}

// Returns the names of the servers that the page names.
std::vector<std::string> ServersIn(const Result<ObjectPage>& page) {
  std::vector<std::string> servers;
  for (const StoredObject& object : page.value().objects) {
    if (!object.removed && Codec().read_server(object)) {
      servers.push_back(object.name);
    }
  }
  return servers;
}

const std::vector<std::string> kSound = {"a", "z"};

}  // namespace

// Guards against the end of every process that reads the list, and against the
// loss of the sound entries with the odd one.
TEST_CASE("one odd entry in a list names no server and harms no other") {
  const std::string odd = GENERATE(from_range(OddSpecs()));
  // An entry whose brackets don't match leaves nothing to tell the others by.
  const bool closed = odd != "[1,2";
  CAPTURE(odd.substr(0, 200));
  const auto page = Codec().store.read_list(
      R"({"items":[)" + Object("a", Registration()) + "," + Object("odd", odd) +
      "," + Object("z", Registration()) + R"(],"hasMore":true,"asOf":9})");
  CHECK(page.has_value() == closed);
  if (closed) {
    CHECK(ServersIn(page) == kSound);
    CHECK(page.value().has_more);
    CHECK(page.value().revision == 9);
  }
}

TEST_CASE("one odd entry in a change ends its server and harms no other") {
  const std::string odd = GENERATE(from_range(OddSpecs()));
  CAPTURE(odd.substr(0, 200));
  if (odd == "[1,2") {
    return;
  }
  const auto page = Codec().store.read_events(
      R"({"asOf":12,"events":[{"object":)" + Object("a", Registration()) +
      R"(,"removed":false},{"object":)" + Object("odd", odd) +
      R"(},{"object":)" + Object("z", Registration()) + "}]}");
  REQUIRE(page);
  CHECK(ServersIn(page) == kSound);
  // The odd one is still there by its name, so that its server is not used any
  // more.
  REQUIRE(page.value().objects.size() == 3);
  CHECK(page.value().objects[1].name == "odd");
}

TEST_CASE("odd metadata hides its own entry only") {
  const std::string metadata =
      GENERATE(as<std::string>(), Nested(100'000), R"({"name":5})", "1e999",
               R"({"name":"b","revision":1e999})", "\"\xff\"");
  const auto page = Codec().store.read_list(
      R"({"items":[)" + Object("a", Registration()) + R"(,{"metadata":)" +
      metadata + R"(,"spec":{}},)" + Object("z", Registration()) +
      R"(],"asOf":9})");
  REQUIRE(page);
  CHECK(ServersIn(page) == kSound);
}

TEST_CASE("what is no list of objects is refused as a whole") {
  const std::string body = GENERATE(
      as<std::string>(), "", "{}", "[]", "null", R"({"items":5,"asOf":1})",
      R"({"items":[],"asOf":"x"})", R"({"items":[})", R"({"items":[]})",
      R"({"items":[],"asOf":1}})", Nested(1'000'000));
  CHECK_FALSE(Codec().store.read_list(body));
  CHECK_FALSE(Codec().store.read_events(body));
}

TEST_CASE("a heartbeat that is nested deeply is refused") {
  // A datagram of arrays with one element each.
  CHECK_FALSE(PeerHeartbeat::Decode(std::string(60'000, '\x91')));
  CHECK(PeerHeartbeat::Decode(PeerHeartbeat{.node = "n"}.Encode()));
}

// Bytes of sound and odd replies, cut, repeated and changed at random.
TEST_CASE("random bytes end no decoder") {
  Rng rng(42);
  std::vector<std::string> seeds = {
      R"({"items":[)" + Object("a", Registration()) + R"(],"asOf":9})",
      R"({"asOf":2,"events":[{"object":)" + Object("a", Registration()) + "}]}",
      PeerHeartbeat{.node = "n", .rate_limits = {{.rate = 1.0}}}.Encode()};
  for (const std::string& odd : OddSpecs()) {
    seeds.push_back(R"({"items":[)" + Object("o", odd.substr(0, 3'000)) +
                    R"(],"asOf":9})");
  }
  size_t read = 0;
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes = seeds[rng.Below(seeds.size())];
    for (uint64_t changes = rng.Below(6); changes > 0; --changes) {
      const size_t at = rng.Below(bytes.size());
      switch (rng.Below(3)) {
        case 0:
          bytes[at] = static_cast<char>(rng.Below(256));
          break;
        case 1:
          bytes.erase(at, 1 + rng.Below(8));
          bytes += ' ';
          break;
        default:
          bytes.insert(at, bytes.substr(rng.Below(bytes.size()), 20));
      }
    }
    read += Codec().store.read_list(bytes).has_value() ? 1 : 0;
    read += Codec().store.read_events(bytes).has_value() ? 1 : 0;
    read += Codec().store.read_object(bytes).has_value() ? 1 : 0;
    read += Codec().read_server({.name = "n", .content = bytes}) ? 1 : 0;
    read += Codec().read_config(bytes) ? 1 : 0;
    read += PeerHeartbeat::Decode(bytes) ? 1 : 0;
  }
  CHECK(read > 1'000);
}

}  // namespace qh
