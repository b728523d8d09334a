// Keeps one kind of the store's objects known: lists it, then waits for changes
// call by call. After a failed call it lists again: a watch that is cut may
// have missed what the store no longer tells.

#ifndef QH_GATEWAY_CONTROL_STORE_WATCHER_H_
#define QH_GATEWAY_CONTROL_STORE_WATCHER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "qh_core/random/rng.h"
#include "qh_gateway/model/stored_object.h"
#include "qh_net/http_client.h"

namespace qh {

class StoreWatcher {
 public:
  // Failed calls in a row after which the store counts as lost.
  static constexpr uint32_t kFailuresToLost = 2;
  static constexpr Duration kListLimit = std::chrono::milliseconds(1'500);
  // Beyond the wait, until a watch's connection counts as silent.
  static constexpr Duration kWatchSlack = std::chrono::milliseconds(500);
  static constexpr Duration kRetryPause = std::chrono::milliseconds(150);

  struct Hooks {
    // The whole kind, as of `revision`.
    std::function<void(const std::vector<StoredObject>&)> on_list;
    // One change.
    std::function<void(const StoredObject&)> on_change;
    // What was told so far is confirmed up to `revision`.
    std::function<void(uint64_t revision)> on_confirmed;
    // Each call's outcome.
    std::function<void(bool answered)> on_call;
    std::function<void(const std::string& why)> on_lost;
    std::function<void()> on_regained;
    // How long a watch may wait.
    std::function<Duration()> wait;
    // Time between two watches, so that changes that come together cost one
    // call.
    std::function<Duration()> gather;
  };

  StoreWatcher(boost::asio::io_context& io,
               const Address& store,
               const StoreProtocol& protocol,
               std::string kind,
               uint64_t seed,
               Hooks hooks);

  void Start();
  void Stop();

  const std::string& kind() const { return kind_; }
  uint64_t revision() const { return revision_; }

 private:
  void List(const std::string& after);
  void OnListReply(const CallReply& reply);
  void Watch();
  void OnWatchReply(const CallReply& reply);
  void OnFailure(const std::string& why);
  void OnSuccess();
  void After(Duration pause, std::function<void()> step);

  boost::asio::steady_timer retry_;
  std::shared_ptr<HttpClient> client_;
  const StoreProtocol& protocol_;
  std::string kind_;
  Rng rng_;
  Hooks hooks_;
  // Pages of the list being read.
  std::vector<StoredObject> listed_;
  uint64_t list_revision_ = 0;
  // Zero until a list was whole, and when history was lost.
  uint64_t revision_ = 0;
  uint32_t failures_ = 0;
  bool lost_ = false;
  bool stopped_ = false;
};

}  // namespace qh

#endif  // QH_GATEWAY_CONTROL_STORE_WATCHER_H_
