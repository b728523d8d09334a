// Free ports for processes that are started later.

#ifndef STANDINS_COMMON_FREE_PORTS_H_
#define STANDINS_COMMON_FREE_PORTS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "qh_core/errors/result.h"

namespace qh::standins {

// Keeps every port that it gave out bound until destroyed, so that none is
// given out twice.
class FreePorts {
 public:
  FreePorts() = default;
  FreePorts(const FreePorts&) = delete;
  FreePorts& operator=(const FreePorts&) = delete;
  ~FreePorts();

  // Returns a free port of `host`. Fails with kInternal when there is none.
  Result<uint16_t> Take(const std::string& host);

 private:
  // Bound sockets.
  std::vector<int> sockets_;
};

}  // namespace qh::standins

#endif  // STANDINS_COMMON_FREE_PORTS_H_
