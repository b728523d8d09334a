// quetzalhalld as a child process, so that its memory is its own.

#ifndef BENCHMARKS_PROXY_NODE_PROCESS_H_
#define BENCHMARKS_PROXY_NODE_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <string>

#include "qh_core/errors/result.h"

namespace qh::bench {

class NodeProcess {
 public:
  // Starts the daemon that lies beside this program with the settings file.
  // Fails with kInternal.
  static Result<std::unique_ptr<NodeProcess>> Start(
      const std::string& settings_file);
  // Sends SIGTERM and waits for the end.
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  // Returns the resident memory, in KiB.
  uint64_t RssKb() const;

 private:
  explicit NodeProcess(pid_t pid) : pid_(pid) {}

  const pid_t pid_;
};

}  // namespace qh::bench

#endif  // BENCHMARKS_PROXY_NODE_PROCESS_H_
