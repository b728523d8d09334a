// How the descriptors of a process are divided between its listeners.
//
// Load pattern: clients that open so many connections that the process can
// open none to servers, to the store and to other nodes.

#ifndef QH_GATEWAY_DECISIONS_LIMITS_DESCRIPTOR_SHARES_H_
#define QH_GATEWAY_DECISIONS_LIMITS_DESCRIPTOR_SHARES_H_

#include <cstddef>
#include <cstdint>

namespace qh {

// Connections that each listener may have open at the same time. What they
// leave is the reserve for connections to servers, to the store and to peers,
// and for the process's own files.
struct DescriptorShares {
  size_t callers = 0;
  size_t peers = 0;
  size_t locate = 0;
  size_t readiness = 0;
  size_t metrics = 0;
};

// Returns the shares of a process that may open `max_open_files`.
DescriptorShares SharesOfDescriptors(uint64_t max_open_files);

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_LIMITS_DESCRIPTOR_SHARES_H_
