// The content of a lease object in the platform's store, stored as JSON.

#ifndef QH_PLATFORM_LEASE_LEASE_RECORD_H_
#define QH_PLATFORM_LEASE_LEASE_RECORD_H_

#include <cstdint>
#include <string>

#include "qh_core/errors/result.h"
#include "qh_core/time/time.h"

namespace qh {

struct LeaseRecord {
  // Instance that holds the lease.
  std::string holder;
  // Identifies the holder's process; differs for each start on one instance.
  std::string incarnation;
  // Differs for each write. A holder whose write got no answer reads the record
  // back and compares the nonce to learn whether the write took effect.
  uint64_t nonce = 0;
  // Rises with each change of holder and never falls.
  uint64_t fencing = 0;
  // How long other nodes wait after each write before they may take the lease.
  Duration duration = Duration::zero();
  // True if the holder has given up the lease, which is then free.
  bool released = false;

  // Returns the record as the object's body.
  std::string Encode() const;

  // Parses an object's body. Fails with kPeerMalformed.
  static Result<LeaseRecord> Decode(const std::string& body);
};

// Returns the key of the lease object of `shard` in an epoch of the store;
// epoch 0 stands for a store without epochs.
std::string LeaseKey(const std::string& shard, uint64_t store_epoch);

}  // namespace qh

#endif  // QH_PLATFORM_LEASE_LEASE_RECORD_H_
