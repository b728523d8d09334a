#include "scripts/script_run.h"

#include <sys/wait.h>

#include <array>
#include <cstdio>

namespace qh {

std::string ScriptRun::LastLine() const {
  const std::string text = output.substr(0, output.size() - 1);
  return text.substr(text.rfind('\n') + 1);
}

bool ScriptRun::Says(const std::string& text) const {
  return output.find(text) != std::string::npos;
}

ScriptRun RunScript(const std::string& command) {
  ScriptRun run;
  FILE* pipe = popen((command + " 2>&1").c_str(), "r");
  std::array<char, 4'096> buffer{};
  while (const size_t size = fread(buffer.data(), 1, buffer.size(), pipe)) {
    run.output.append(buffer.data(), size);
  }
  run.code = WEXITSTATUS(pclose(pipe));
  return run;
}

}  // namespace qh
