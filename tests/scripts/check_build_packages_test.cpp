// scripts/check-build-packages on small projects whose list of packages is
// right, short of one name or too long. Every package named here is one of
// scripts/packages, so the machine has them all: what is installed must not
// decide the verdict.

#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "scripts/script_run.h"

namespace qh {
namespace {

namespace fs = std::filesystem;

using Names = std::vector<std::string>;

// All that a project with one xxHash program needs.
const Names kNeeded = {"g++", "cmake", "make", "pkg-config", "libxxhash-dev"};

constexpr const char* kBuild =
    "cmake -S . -B target && cmake --build target --target demo";

Names Without(const std::string& left_out) {
  Names names;
  for (const std::string& name : kNeeded) {
    if (name != left_out) {
      names.push_back(name);
    }
  }
  return names;
}

Names With(const std::string& more) {
  Names names = kNeeded;
  names.push_back(more);
  return names;
}

// A git repository with a project of one program.
class Project {
 public:
  Project()
      : folder_(fs::temp_directory_path() /
                ("qh-check-packages-" + std::to_string(getpid()))) {
    fs::create_directories(folder_ / "deploy");
    Write("main.cpp",
          "#include <xxhash.h>\n"
          "int main() { return XXH64(\"\", 0, 0) == 0; }\n");
    Write("CMakeLists.txt",
          "cmake_minimum_required(VERSION 3.20)\n"
          "project(demo CXX)\n"
          "include(extra.cmake)\n"
          "find_package(PkgConfig REQUIRED)\n"
          "pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)\n"
          "add_executable(demo main.cpp)\n"
          "target_link_libraries(demo PkgConfig::XXHASH)\n");
    Write("extra.cmake", "");
  }
  ~Project() { fs::remove_all(folder_); }

  void Write(const std::string& name, const std::string& text) const {
    std::ofstream(folder_ / name) << text;
  }

  // Commits the project with this deploy file and checks it.
  ScriptRun Check(const Names& packages,
                  const std::string& build = kBuild) const {
    std::string list;
    for (const std::string& name : packages) {
      list += "\"" + name + "\", ";
    }
    Write("deploy/system.toml",
          "build = \"" + build + "\"\npackages = [" + list + "]\n");
    const std::string git = "git -C " + folder_.string() +
                            " -c user.name=test -c user.email=test@localhost ";
    const ScriptRun commit =
        RunScript(git + "init --quiet && " + git + "add --all && " + git +
                  "commit --quiet --message project");
    REQUIRE(commit.code == 0);
    return RunScript(QH_SOURCE_DIR
                     "/scripts/check-build-packages --repository " +
                     folder_.string());
  }

 private:
  const fs::path folder_;
};

}  // namespace

TEST_CASE("a list that names all that the build uses passes") {
  const ScriptRun run = Project().Check(kNeeded);
  CHECK(run.code == 0);
  CHECK(run.Says("libxxhash-dev (listed): "));
  CHECK_FALSE(run.Says("FAILED"));
}

TEST_CASE("each name taken out of the list fails the check") {
  const std::string name = GENERATE(from_range(kNeeded));
  CAPTURE(name);
  const ScriptRun run = Project().Check(Without(name));
  CHECK(run.code == 1);
  CHECK(run.Says("FAILED: package " +
                 (name == "pkg-config" ? "pkgconf" : name) + ", not listed"));
}

TEST_CASE("a listed name that the build would not miss fails the check") {
  const ScriptRun run = Project().Check(With("libssl-dev"));
  CHECK(run.code == 1);
  CHECK(run.Says("FAILED: package libssl-dev, listed"));
}

TEST_CASE("a tool that is taken where it happens to be installed is found") {
  const Project project;
  project.Write("extra.cmake",
                "find_program(CCACHE ccache)\n"
                "if(CCACHE)\n"
                "  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE})\n"
                "endif()\n");
  const ScriptRun run = project.Check(kNeeded);
  CHECK(run.code == 1);
  CHECK(run.Says("FAILED: package ccache, not listed: /usr/bin/ccache"));
}

TEST_CASE("a library that only the linker reads is found") {
  const Project project;
  project.Write("extra.cmake", "link_libraries(-Wl,--no-as-needed crypto)\n");
  const ScriptRun run = project.Check(kNeeded);
  CHECK(run.code == 1);
  CHECK(run.Says("FAILED: package libssl-dev, not listed: "));
  CHECK(run.Says("/libcrypto.so (link input)\n"));
}

TEST_CASE("a header that no package owns is found") {
  const Project project;
  const fs::path stray = fs::temp_directory_path() /
                         ("qh-stray-" + std::to_string(getpid()) + ".h");
  std::ofstream(stray) << "\n";
  project.Write("main.cpp",
                "#include \"" + stray.string() + "\"\nint main() {}\n");
  const ScriptRun run = project.Check(kNeeded);
  fs::remove(stray);
  CHECK(run.code == 1);
  CHECK(run.Says("FAILED: no package: " + stray.string()));
}

TEST_CASE("what the build writes outside target/ is found") {
  const ScriptRun run =
      Project().Check(kNeeded, std::string(kBuild) + " && touch beside");
  CHECK(run.code == 1);
  CHECK(run.Says("FAILED: written outside target/: ?? beside"));
}

TEST_CASE("a build that fails or leaves no evidence fails the check") {
  const ScriptRun failed = Project().Check(kNeeded, "echo broken; false");
  CHECK(failed.code == 1);
  CHECK(failed.Says("FAILED: the build failed:\nbroken"));

  const ScriptRun empty = Project().Check(kNeeded, "mkdir target");
  CHECK(empty.code == 1);
  CHECK(empty.Says("FAILED: the build left no link line"));
}

}  // namespace qh
