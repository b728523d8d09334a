// Tests of the operators' commands for folders, run against a simulated
// platform.

#include "apps/quetzalhall/folder_commands.h"

#include <httplib.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "apps/quetzalhall/accepted_config.h"
#include "apps/quetzalhall/admin_client.h"
#include "apps/quetzalhall/line_diff.h"
#include "qh_config/schema/reference_page.h"
#include "qh_http_platform/http_platform.h"
#include "standins/platform/platform_standin.h"

namespace qh::cli {
namespace {

constexpr const char* kHost = "127.0.0.1";

// A temporary configuration folder, deleted by the destructor.
class Folder {
 public:
  explicit Folder(const std::string& name)
      : path_(std::filesystem::temp_directory_path() /
              ("qh-cli-" + std::to_string(getpid()) + "-" + name)) {
    std::filesystem::create_directories(path_);
    Write("00.json", R"({"deployment": "one"})");
  }
  ~Folder() { std::filesystem::remove_all(path_); }

  void Write(const std::string& name, const std::string& text) const {
    std::ofstream(path_ / name) << text;
  }
  std::string path() const { return path_; }

 private:
  std::filesystem::path path_;
};

class Cli {
 public:
  Cli()
      : standin_(standins::PlatformStandin::Start({.host = kHost}).value()),
        platform_(HttpPlatform::Create(kHost, standin_->port())) {}

  StoreHook Store() const {
    return [platform = platform_](const StoreRequest& request) {
      return platform->Call(request);
    };
  }
  void SetFaults(const std::string& faults) const {
    httplib::Client client(kHost, standin_->port());
    client.Put("/admin/faults", faults, "application/json");
  }
  uint64_t AcceptedVersion() const {
    return ReadManifest(Store()).value().version;
  }

  std::ostringstream out;
  std::ostringstream err;
  Output output{out, err};

 private:
  std::unique_ptr<standins::PlatformStandin> standin_;
  std::shared_ptr<HttpPlatform> platform_;
};

}  // namespace

TEST_CASE(
    "a folder with five mistakes gives five messages and is not applied") {
  Cli cli;
  const Folder folder("mistakes");
  folder.Write("10.json", R"({"teems": {}, "weights": {"cost": "high"}})");
  folder.Write("20.json", R"({"limits": {"max_open_requests": 0}})");
  folder.Write("30.json",
               R"({"non_idempotent": {"b": {"route": "r", "method": "POST",
                                            "path_prefix": "/"}}})");
  folder.Write("40.json", "{\n  \"routes\": {,}\n}");
  CHECK(Apply({.folder = folder.path()}, cli.Store(), cli.output) ==
        ExitCode::kUsage);
  CHECK(cli.err.str() ==
        "10.json: teems: unknown key; the nearest known one is \"teams\"\n"
        "10.json: weights.cost: wrong type: expected number, found string\n"
        "20.json: limits.max_open_requests: out of range: 0 is not within 1 to "
        "100000\n"
        "30.json: non_idempotent.b.route: bad reference: \"r\" is not in "
        "routes\n"
        "40.json: routes: JSON fault: parse error at line 2, column 14: syntax "
        "error while parsing object key - unexpected ','; expected string "
        "literal\n"
        "5 mistakes; nothing is applied\n");
  CHECK(cli.AcceptedVersion() == 0);
}

TEST_CASE("apply accepts, diff shows what changed") {
  Cli cli;
  const Folder folder("apply");
  REQUIRE(Check(folder.path(), cli.output) == ExitCode::kOk);
  REQUIRE(Apply({.folder = folder.path(), .author = "ana"}, cli.Store(),
                cli.output) == ExitCode::kOk);
  CHECK(ReadManifest(cli.Store()).value().author == "ana");
  CHECK(Diff(folder.path(), cli.Store(), cli.output) == ExitCode::kOk);

  folder.Write("00.json", R"({"deployment": "two"})");
  folder.Write("10.json", "{}\n");
  cli.out.str("");
  CHECK(Diff(folder.path(), cli.Store(), cli.output) == ExitCode::kFailed);
  CHECK(cli.out.str() ==
        "accepted version 1\n"
        "file 00.json\n"
        "-{\"deployment\": \"one\"}\n"
        "+{\"deployment\": \"two\"}\n"
        "file 10.json\n"
        "+{}\n");
}

TEST_CASE(
    "a concurrent apply is refused with its author and the changed files") {
  Cli cli;
  const Folder mine("mine");
  const Folder theirs("theirs");
  theirs.Write("20.json", R"({"weights": {"cost": 2}})");
  mine.Write("30.json", "{}");
  Cli other;
  bool raced = false;
  // The other operator applies right before this one's manifest is written.
  const StoreHook racing = [&](const StoreRequest& request) {
    if (request.op == StoreOp::kPut && request.key == kManifestKey && !raced) {
      raced = true;
      Apply({.folder = theirs.path(), .author = "bela"}, cli.Store(),
            other.output);
    }
    return cli.Store()(request);
  };
  CHECK(Apply({.folder = mine.path()}, racing, cli.output) ==
        ExitCode::kFailed);
  CHECK(cli.err.str() ==
        "refused: version 1 by bela is in force; from it to the folder:\n"
        "  adds 30.json\n"
        "  removes 20.json\n"
        "see `quetzalhall diff`, then apply with --expect 1\n");
  CHECK(cli.AcceptedVersion() == 1);

  CHECK(Apply({.folder = mine.path(), .expected_version = 7}, cli.Store(),
              cli.output) == ExitCode::kFailed);
  CHECK(Apply({.folder = mine.path(), .expected_version = 1}, cli.Store(),
              cli.output) == ExitCode::kOk);
  CHECK(cli.AcceptedVersion() == 2);
}

TEST_CASE("a write whose answer is lost is verified by reading it back") {
  Cli cli;
  const Folder folder("lost");
  // Both writes, the object's and the manifest's, go unanswered.
  cli.SetFaults(R"({"lose_answers": 2})");
  CHECK(Apply({.folder = folder.path()}, cli.Store(), cli.output) ==
        ExitCode::kOk);
  CHECK(cli.AcceptedVersion() == 1);
}

TEST_CASE("an outage of the store is reported and nothing is accepted") {
  Cli cli;
  const Folder folder("outage");
  cli.SetFaults(R"({"outage": true})");
  CHECK(Apply({.folder = folder.path()}, cli.Store(), cli.output) ==
        ExitCode::kFailed);
  CHECK(cli.err.str() == "not accepted: the store does not answer\n");
  CHECK(Diff(folder.path(), cli.Store(), cli.output) == ExitCode::kUnknown);
  cli.SetFaults(R"({"outage": false})");
  CHECK(cli.AcceptedVersion() == 0);
}

TEST_CASE("the line diff keeps common lines") {
  CHECK(DiffLines("a\nb\nc\n", "a\nx\nc\nd\n") ==
        std::vector<std::string>{"-b", "+x", "+d"});
  CHECK(DiffLines("a\n", "a\n").empty());
}

TEST_CASE("the token comes from a file or the environment") {
  const Folder folder("token");
  folder.Write("token", "secret\nrest\n");
  CHECK(ReadToken(folder.path() + "/token") == "secret");
  CHECK(!ReadToken(folder.path() + "/none"));
}

TEST_CASE("the committed reference page matches the schema") {
  std::ifstream stream(QH_SOURCE_DIR "/docs/operators/configuration.md");
  std::ostringstream text;
  text << stream.rdbuf();
  CHECK(text.str() == ReferencePage());
}

TEST_CASE("the example folders have no mistakes") {
  for (const char* name :
       {"rettungsschwimm-ausbildung-schweiz", "menzaterv-campus-dining"}) {
    Cli cli;
    Check(std::string(QH_SOURCE_DIR "/examples/") + name, cli.output);
    CHECK(cli.err.str().empty());
  }
}

}  // namespace qh::cli
