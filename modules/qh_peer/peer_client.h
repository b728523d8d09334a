// Calls other gateway nodes. One HTTP/2 connection per peer carries all calls
// to it, each as a stream.

#ifndef QH_PEER_PEER_CLIENT_H_
#define QH_PEER_PEER_CLIENT_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "qh_config/configuration.h"
#include "qh_core/time/time.h"
#include "qh_peer/peer_call.h"

namespace qh {

// Thread safe.
class PeerClient {
 public:
  // `secret` is shared by all nodes of the deployment and authenticates the
  // calls.
  explicit PeerClient(std::string secret);
  ~PeerClient();

  // Sends `message` and waits for the reply, whose body is returned. Connects
  // first when there is no open connection; `timeout` then limits connecting
  // and waiting separately. Fails with kPeerUnreachable when no complete reply
  // arrived in time; the peer may still have acted on the call. Fails with
  // kPeerMalformed when the peer refused the call, and with kConfigInvalid when
  // the host is not an IPv4 address.
  Result<std::string> Call(const Address& peer,
                           const PeerCall& message,
                           Duration timeout);

 private:
  class Link;

  // Returns the open link to `peer`, or connects.
  Result<std::shared_ptr<Link>> FindOrConnect(const Address& peer,
                                              Duration timeout);

  const std::string authorization_;
  std::mutex mutex_;
  // Guarded by mutex_. A closed link is replaced by the next call.
  std::map<Address, std::shared_ptr<Link>> links_;
};

}  // namespace qh

#endif  // QH_PEER_PEER_CLIENT_H_
