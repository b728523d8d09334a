// scripts/run-tests counts what test programs report. Stand-ins for programs
// are shell scripts that print a report of Catch2's form.

#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "scripts/script_run.h"

namespace qh {
namespace {

namespace fs = std::filesystem;

// A build folder with programs of known results.
class Build {
 public:
  Build()
      : folder_(fs::temp_directory_path() /
                ("qh-run-tests-" + std::to_string(getpid()))) {
    fs::create_directories(folder_ / "tests");
  }
  ~Build() { fs::remove_all(folder_); }

  // Adds a program that writes `report` to the file after --out.
  void AddProgram(const std::string& name,
                  const std::string& report,
                  int code) const {
    const fs::path path = folder_ / "tests" / name;
    std::ofstream(path) << "#!/bin/sh\n"
                        << "cat >\"$6\" <<'END'\n"
                        << report << "END\nexit " << code << "\n";
    fs::permissions(path, fs::perms::owner_all);
  }

  ScriptRun Run(const std::string& known_red) const {
    std::ofstream(folder_ / "known") << known_red;
    const std::string command =
        "QH_TESTS= QH_KNOWN_RED=" + (folder_ / "known").string() +
        " " QH_SOURCE_DIR "/scripts/run-tests " + folder_.string();
    return RunScript(command);
  }

 private:
  const fs::path folder_;
};

constexpr const char* kGood =
    "<TestCase name=\"good\" filename=\"x\">\n"
    "<OverallResult success=\"true\"/>\n</TestCase>\n";
constexpr const char* kBadStart =
    "<TestCase name=\"bad &lt;one>\" filename=\"x\">\n"
    "<Expression success=\"false\" type=\"CHECK\">\n"
    "<Original>\n1 == 2\n</Original>\n</Expression>\n";
constexpr const char* kBadEnd =
    "<OverallResult success=\"false\"/>\n</TestCase>\n";

}  // namespace

TEST_CASE("passing and failing cases of several programs are counted") {
  const Build build;
  build.AddProgram("test_a", kGood, 0);
  CHECK(build.Run("").LastLine() == "1 passed, 0 failed");
  CHECK(build.Run("").code == 0);

  build.AddProgram("test_b", std::string(kGood) + kBadStart + kBadEnd, 1);
  const ScriptRun result = build.Run("");
  CHECK(result.LastLine() == "2 passed, 1 failed");
  CHECK(result.code == 1);
  CHECK(result.Says("FAILED: bad <one>\n"));
  CHECK(result.Says("1 == 2"));
}

TEST_CASE("known red cases are printed and passed over, others are not") {
  const Build build;
  build.AddProgram("test_b", std::string(kGood) + kBadStart + kBadEnd, 1);
  const ScriptRun known = build.Run("bad <one> | command | seen | issue 1\n");
  CHECK(known.code == 0);
  CHECK(known.LastLine() == "1 passed, 0 failed");
  CHECK(known.Says("KNOWN RED: bad <one>\n"));
  CHECK(build.Run("bad | x | x | x\n").code == 1);
  CHECK(build.Run("# bad <one> | x | x | x\n").code == 1);
}

TEST_CASE("a program that crashes or reports nothing has failed") {
  const Build build;
  build.AddProgram("test_c", std::string(kGood) + kBadStart, 139);
  const ScriptRun crashed = build.Run("");
  CHECK(crashed.LastLine() == "1 passed, 1 failed");
  CHECK(crashed.Says("FAILED: bad <one>\n"));
  build.AddProgram("test_c", "", 127);
  const ScriptRun silent = build.Run("");
  CHECK(silent.code == 1);
  CHECK(silent.LastLine() == "0 passed, 1 failed");
}

TEST_CASE("a folder without programs has failed") {
  const Build build;
  CHECK(build.Run("").LastLine() == "0 passed, 1 failed");
  CHECK(build.Run("").code == 1);
}

}  // namespace qh
