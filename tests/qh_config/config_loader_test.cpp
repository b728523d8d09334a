// Tests of merging and checking configuration folders.

#include "qh_config/config_loader.h"

#include <catch2/catch.hpp>

namespace qh {
namespace {

constexpr const char* kHash =
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

// Returns a valid configuration file.
std::string BaseConfig() {
  return std::string(R"({
    "deployment": "d",  // comments are allowed
    "failure_domains": {"a": {"region": "r"}},
    "model_pools": {"chat": {
      "models": {"m": {"versions": ["1", "2"]}},
      "servers": {"e1": {"host": "127.0.0.1", "port": 7001,
                         "failure_domain": "a"}}}},
    "teams": {"kitchen": {"key_sha256": [")") +
         kHash + R"("], "weight": 2}},
    "routes": {"booking": {"servers": {}}},
    "non_idempotent": {"book": {"route": "booking", "method": "POST",
                                "path_prefix": "/book"}}
  })";
}

std::vector<std::string> MistakeLines(const LoadedConfig& loaded) {
  std::vector<std::string> lines;
  for (const ConfigMistake& mistake : loaded.mistakes) {
    lines.push_back(mistake.ToString());
  }
  return lines;
}

// Returns the mistakes of BaseConfig() followed by `text` as a second file.
std::vector<std::string> MistakesOf(const std::string& text) {
  return MistakeLines(
      LoadConfig({{"00.json", BaseConfig()}, {"10.json", text}}));
}

using Strings = std::vector<std::string>;

}  // namespace

TEST_CASE("a valid folder is parsed to typed values and defaults") {
  const LoadedConfig loaded = LoadConfig({{"00.json", BaseConfig()}});
  REQUIRE_THAT(MistakeLines(loaded), Catch::Equals(Strings()));
  const Configuration& config = loaded.configuration;
  CHECK(config.deployment == "d");
  REQUIRE(config.model_pools.size() == 1);
  CHECK(config.model_pools[0].models[0].versions == Strings{"1", "2"});
  CHECK(config.teams[0].weight == 2);
  CHECK(config.IsNonIdempotent(RouteId("booking"), "POST", "/book/7"));

  // The schema's defaults equal the initial values of the structs.
  const ModelPool pool;
  CHECK(config.model_pools[0].slots_per_server == pool.slots_per_server);
  CHECK(config.model_pools[0].first_token_target == pool.first_token_target);
  CHECK(config.model_pools[0].token_interval_target ==
        pool.token_interval_target);
  const Team team;
  CHECK(config.teams[0].priority == team.priority);
  CHECK(config.teams[0].tokens_per_minute == team.tokens_per_minute);
  CHECK(config.teams[0].requests_per_second == team.requests_per_second);
  CHECK(config.teams[0].default_class == team.default_class);
  CHECK(config.routes[0].timeout == Route().timeout);
  const NodeLimits limits;
  CHECK(config.limits.max_body_bytes == limits.max_body_bytes);
  CHECK(config.limits.max_header_bytes == limits.max_header_bytes);
  CHECK(config.limits.read_timeout == limits.read_timeout);
  CHECK(config.limits.locate_ttl == limits.locate_ttl);
  CHECK(config.limits.interactive_deadline == limits.interactive_deadline);
  CHECK(config.limits.batch_deadline == limits.batch_deadline);
  CHECK(config.limits.max_open_requests == limits.max_open_requests);
  CHECK(config.weights.cost == MeasureWeights().cost);
}

TEST_CASE("later files replace values and extend objects") {
  const LoadedConfig loaded =
      LoadConfig({{"00.json", BaseConfig()},
                  {"10.json", R"({"teams": {"kitchen": {"weight": 5}},
                       "failure_domains": {"b": {}}})"}});
  REQUIRE_THAT(MistakeLines(loaded), Catch::Equals(Strings()));
  CHECK(loaded.configuration.teams[0].weight == 5);
  CHECK(loaded.configuration.teams[0].key_sha256 == Strings{kHash});
  CHECK(loaded.configuration.failure_domains.size() == 2);
}

TEST_CASE("each kind of mistake is reported with file, key and reason") {
  CHECK(MistakesOf(R"({"teams": {"kitchen": {"wieght": 1}}})") ==
        Strings{"10.json: teams.kitchen.wieght: unknown key; the nearest known "
                "one is \"weight\""});
  CHECK(MistakesOf(R"({"teams": {"kitchen": {"weight": "x"}}})") ==
        Strings{"10.json: teams.kitchen.weight: wrong type: expected number, "
                "found string"});
  CHECK(MistakesOf(R"({"teams": {"kitchen": {"priority": 101}}})") ==
        Strings{"10.json: teams.kitchen.priority: out of range: 101 is not "
                "within -100 to 100"});
  CHECK(MistakesOf(R"({"teams": {"kitchen": {"default_class": "slow"}}})") ==
        Strings{"10.json: teams.kitchen.default_class: out of range: \"slow\" "
                "is none of service, interactive, batch"});
  CHECK(MistakesOf(R"({"non_idempotent": {"book": {"route": "none"}}})") ==
        Strings{"10.json: non_idempotent.book.route: bad reference: \"none\" "
                "is not in routes"});
  CHECK(
      MistakesOf(R"({"weights": {"cost": 1, "cost": 2}})") ==
      Strings{"10.json: weights.cost: duplicate: the key appears twice in one "
              "object"});
  CHECK(MistakesOf(R"({"teams": {"office": {}}})") ==
        Strings{"10.json: teams.office.key_sha256: missing: the key is "
                "required"});
  CHECK(MistakesOf(R"({"teams": {"o/x": {"key_sha256": []}}})") ==
        Strings{"10.json: teams.o/x: malformed id: 1 to 128 of letters, "
                "digits, '.', '_' and '-'"});
  CHECK(MistakesOf("[]") ==
        Strings{"10.json: wrong type: the file must hold an object"});
  CHECK(MistakesOf("{\n// caf\xe9\n}") ==
        Strings{"10.json: not UTF-8: line 2, column 7"});
  CHECK(MistakesOf("\xff\xfe{}") ==
        Strings{"10.json: not UTF-8: line 1, column 1"});
  const Strings syntax_error =
      MistakesOf("{\n\"limits\": {\"max_open_requests\": }}");
  REQUIRE(syntax_error.size() == 1);
  CHECK(syntax_error[0].starts_with(
      "10.json: limits.max_open_requests: JSON fault: parse error at line 2"));
}

TEST_CASE("names and addresses must be unique across sections") {
  CHECK(MistakesOf(R"({"routes": {"booking": {"servers": {"e1": {
          "host": "127.0.0.1", "port": 7001, "failure_domain": "a"}}}}})") ==
        Strings{"10.json: routes.booking.servers.e1: duplicate: address "
                "\"127.0.0.1:7001\" is also at model_pools.chat.servers.e1",
                "10.json: routes.booking.servers.e1: duplicate: server id "
                "\"e1\" is also at model_pools.chat.servers.e1"});
  CHECK(MistakesOf(
            R"({"model_pools": {"o": {"models": {"m": {"versions": ["1"]}}}}})")
            .size() == 1);
  CHECK(MistakesOf(std::string(R"({"teams": {"o": {"key_sha256": [")") + kHash +
                   R"("]}}})")
            .size() == 1);
}

TEST_CASE("all mistakes of a folder are reported in one run") {
  const LoadedConfig loaded = LoadConfig(
      {{"00.json", BaseConfig()},
       {"10.json", R"({"teams": {"kitchen": {"weight": -1, "prio": 3}}})"},
       {"20.json", R"({"deployment": 7, "deployment": 8})"},
       {"30.json", R"({"routes": {"booking": {"servers": {"s1": {
                      "host": "localhost", "port": 1,
                      "failure_domain": "z"}}}}})"},
       {"40.json", "{\"limits\": {"}});
  CHECK(loaded.mistakes.size() == 7);
  CHECK(loaded.configuration.teams.empty());
}

TEST_CASE(
    "keys that a file with a syntax error may define are not reported "
    "missing") {
  const auto lines = MistakesOf(R"({"routes": {"late": {"servers": {}}}, )"
                                R"("non_idempotent": {"x": {"route": "late",)");
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].find("JSON fault") != std::string::npos);
}

TEST_CASE("tolerant mode ignores unknown keys and choices") {
  const std::vector<ConfigFile> files = {
      {"00.json", BaseConfig()},
      {"10.json", R"({"teams": {"kitchen": {"colour": "red",
                                            "default_class": "bulk"}}})"}};
  CHECK(LoadConfig(files).mistakes.size() == 2);
  const LoadedConfig loaded = LoadConfig(files, ConfigMode::kTolerant);
  REQUIRE_THAT(MistakeLines(loaded), Catch::Equals(Strings()));
  CHECK(loaded.ignored_keys ==
        Strings{"teams.kitchen.colour", "teams.kitchen.default_class"});
  CHECK(loaded.configuration.teams[0].default_class ==
        RequestClass::kInteractive);
}

}  // namespace qh
