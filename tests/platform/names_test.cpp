// Checks that the platform's header and field names appear only in platform/.

#include <array>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace qh {
namespace {

// Header and field names of the platform that are no common words, spelled as
// in the platform's documentation.
constexpr std::array<std::string_view, 35> kNames = {
    "Not-Executed",    "Store-Era",
    "Server-Leaving",  "allowStale",
    "Expect-Instance", "Server-Stamp",
    "Fence-Token",     "Duty-Holder",
    "Kv-Backup",       "Kv-From",
    "Kv-Fetch",        "Deadline-Ms",
    "Token-Count",     "Prompt-Prefix",
    "X-Api-Key",       "Request-Priority",
    "Weight-Versions", "Length-Hint",
    "kv-move",         "kv-events",
    "hold-take",       "coldRemainingMs",
    "pathPrefix",      "routeKind",
    "targetLatencyMs", "maxAttempts",
    "gapTargetMs",     "apiKeys",
    "ratePerS",        "plainTokens",
    "windowId",        "afterRev",
    "hasMore",         "ttlS",
    "leaves_ms\":"};

std::vector<std::filesystem::path> SourcesBelow(const std::string& folder) {
  std::vector<std::filesystem::path> sources;
  const auto root = std::filesystem::path(QH_SOURCE_DIR) / folder;
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(root)) {
    const auto extension = entry.path().extension();
    if (extension == ".h" || extension == ".cpp") {
      sources.push_back(entry.path());
    }
  }
  return sources;
}

}  // namespace

TEST_CASE("no file in modules or apps contains a name of the platform") {
  const auto folder = GENERATE("modules", "apps");
  const auto sources = SourcesBelow(folder);
  REQUIRE_FALSE(sources.empty());
  for (const auto& path : sources) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    for (const std::string_view name : kNames) {
      INFO(path << " contains " << name);
      CHECK(text.str().find(name) == std::string::npos);
    }
  }
}

}  // namespace qh
