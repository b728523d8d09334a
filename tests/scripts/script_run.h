// Runs one of the repository's scripts and keeps what it printed.

#ifndef TESTS_SCRIPTS_SCRIPT_RUN_H_
#define TESTS_SCRIPTS_SCRIPT_RUN_H_

#include <string>

namespace qh {

struct ScriptRun {
  // Exit code of the script.
  int code = 0;
  // Its standard output and standard error.
  std::string output;

  // Returns the last line of the output, without its end.
  std::string LastLine() const;
  // Returns whether the output contains `text`.
  bool Says(const std::string& text) const;
};

// Runs `command` in a shell and waits for its end.
ScriptRun RunScript(const std::string& command);

}  // namespace qh

#endif  // TESTS_SCRIPTS_SCRIPT_RUN_H_
