// Starts and ends processes of quetzalhall-gateway with settings like those
// that the deploy file's template gives for a small deployment.

#ifndef REVIEW_STAND_INS_GATEWAY_H_
#define REVIEW_STAND_INS_GATEWAY_H_

#include <sys/types.h>

#include <cstdint>
#include <string>

namespace review {

class Gateway {
 public:
  // `program` is the gateway's binary, `folder` takes its settings and its log.
  Gateway(std::string program,
          std::string folder,
          std::string node,
          std::string zone,
          std::string store,
          std::string cloud);
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;
  ~Gateway();

  // Starts the process. `first` tells it that the whole system starts for the
  // first time.
  void Start(bool first);
  void Signal(int signal) const;
  // Kills the process and waits for its end.
  void Kill();
  // Whether the process runs.
  bool Runs();
  // Waits until the node says that it is ready.
  bool WaitReady(int64_t limit_ms) const;
  std::string callers() const;
  pid_t process() const { return process_; }
  std::string node() const { return node_; }

 private:
  void WriteSettings(bool first) const;

  std::string program_;
  std::string folder_;
  std::string node_;
  std::string zone_;
  std::string store_;
  std::string cloud_;
  uint16_t callers_;
  uint16_t readiness_;
  uint16_t locate_;
  uint16_t peers_;
  uint16_t metrics_;
  pid_t process_ = -1;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_GATEWAY_H_
