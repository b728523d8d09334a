// Tests of loading a node's settings file.

#include "qh_config/node_settings.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

namespace qh {
namespace {

Result<NodeSettings> LoadText(const std::string& text) {
  const auto path = std::filesystem::temp_directory_path() /
                    ("qh-settings-" + std::to_string(getpid()) + ".json");
  std::ofstream(path) << text;
  auto settings = NodeSettings::Load(path);
  std::filesystem::remove(path);
  return settings;
}

constexpr const char* kValidSettings = R"({
  "instance": "n1", "failure_domain": "a",  // comment
  "callers": {"host": "127.0.0.1", "port": 1},
  "admin": {"host": "127.0.0.1", "port": 2},
  "peers": {"host": "127.0.0.1", "port": 3},
  "platform": {"host": "127.0.0.1", "port": 4},
  "admin_token": "t", "peer_secret": "s"})";

}  // namespace

TEST_CASE("node settings are checked against their schema") {
  const auto valid = LoadText(kValidSettings);
  REQUIRE(valid);
  CHECK(valid.value().peers.ToString() == "127.0.0.1:3");
  CHECK(valid.value().log_level == "info");

  const auto invalid = LoadText(R"({"instance": 1, "callers": {"port": 70000},
                                "colour": "red"})");
  REQUIRE(!invalid);
  const std::string detail = invalid.error().detail();
  for (const char* part :
       {": instance: wrong type", ": callers.host: missing",
        ": callers.port: out of range", ": colour: unknown key",
        ": peers: missing", ": admin_token: missing"}) {
    INFO(part);
    CHECK(detail.find(part) != std::string::npos);
  }
  CHECK(!NodeSettings::Load("/nonexistent"));
}

}  // namespace qh
