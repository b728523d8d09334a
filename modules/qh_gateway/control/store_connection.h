// A connection to the store that checks the epoch of each answer before the
// answer is used.

#ifndef QH_GATEWAY_CONTROL_STORE_CONNECTION_H_
#define QH_GATEWAY_CONTROL_STORE_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

#include "qh_gateway/decisions/store/store_epoch.h"
#include "qh_gateway/model/stored_object.h"
#include "qh_net/http_client.h"

namespace qh {

// Sends one call at a time, as HttpClient does. An answer that shows that the
// store was restored first runs the epoch's hook. The hook may call Reset, and
// the answer is then dropped like all other pending ones.
class StoreConnection {
 public:
  // `protocol` and `epoch` have to outlive the connection. Answers are counted
  // in `budget`, see HttpClient::Create.
  StoreConnection(boost::asio::io_context& io,
                  const Address& store,
                  const StoreProtocol& protocol,
                  StoreEpoch& epoch,
                  std::shared_ptr<ByteBudget> budget = nullptr);
  ~StoreConnection();
  StoreConnection(const StoreConnection&) = delete;
  StoreConnection& operator=(const StoreConnection&) = delete;

  // Queues `call`. An answer of an earlier epoch, or with an unreadable one, is
  // reported as kNoAnswer, because the call's effect is not known.
  void Send(HttpCall call, Duration timeout, HttpClient::Hook on_reply);
  // Drops all calls without calling their hooks.
  void Reset();

 private:
  // Returns the reply to report.
  CallReply CheckEpoch(const CallReply& reply);

  std::shared_ptr<HttpClient> client_;
  const StoreProtocol& protocol_;
  StoreEpoch& epoch_;
  // Increases with each Reset.
  uint64_t generation_ = 0;
};

}  // namespace qh

#endif  // QH_GATEWAY_CONTROL_STORE_CONNECTION_H_
