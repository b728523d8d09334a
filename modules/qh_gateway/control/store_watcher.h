// Follows one kind of objects in the store: lists all of them once, then asks
// for changes by long polling. After a failed call the kind is listed again,
// because the store may have dropped changes that the failed watch missed from
// its history, and after the store was restored from an older copy.
//
// An answer may arrive after the owner has learned of a later state from peers.
// The owner decides by the answer's version, and tells where to go on.
//
// An open watch that hangs looks like one without changes. Check asks the store
// on another connection, so that the owner need not wait until the watch times
// out.

#ifndef QH_GATEWAY_CONTROL_STORE_WATCHER_H_
#define QH_GATEWAY_CONTROL_STORE_WATCHER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/random/rng.h"
#include "qh_gateway/control/store_connection.h"
#include "qh_gateway/decisions/store/store_mirror.h"
#include "qh_gateway/model/stored_object.h"

namespace qh {

// Reports the objects of one kind and the reachability of the store to hooks.
// All hooks run on the io_context.
class StoreWatcher {
 public:
  // Consecutive failed calls after which the store counts as lost.
  static constexpr uint32_t kFailuresUntilLost = 2;
  // Timeout of the call for one page of a list.
  static constexpr Duration kListTimeout = std::chrono::milliseconds(1'500);
  // Added to Hooks::watch_wait for the timeout of a watch call.
  static constexpr Duration kWatchTimeoutSlack = std::chrono::milliseconds(500);
  // Timeout of the call that checks an open watch.
  static constexpr Duration kCheckTimeout = std::chrono::milliseconds(400);
  // Delay before the list that follows the first failed call. It doubles with
  // each further one up to the longest delay. Jitter shortens it to half at
  // least.
  static constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(150);
  static constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(600);

  struct Hooks {
    // Receives all objects of the kind, or the changes since what an earlier
    // answer said, with the version of the store that the answer reflects. The
    // owner may know more by then. Returns the version that the owner knows
    // after the update; the next watch begins there.
    std::function<StoreVersion(const StoreUpdate& update)> on_update;
    // The store answered a call that was sent at `sent_at`, by BootNow: it had
    // nothing newer then than what the owner knows now.
    std::function<void(TimePoint sent_at)> on_confirmed;
    // A call succeeded or failed. Not called when the store has dropped the
    // history asked for.
    std::function<void(bool succeeded)> on_call;
    // kFailuresUntilLost calls have failed in a row; `reason` describes the
    // last failure. Called once until on_regained.
    std::function<void(const std::string& reason)> on_lost;
    // A call succeeded for the first time after on_lost.
    std::function<void()> on_regained;
    // Returns how long the store may hold the next watch call open.
    std::function<Duration()> watch_wait;
    // Whether the first list after Start may be some seconds old; the watch
    // from there reports what has changed since. Later lists are never old: the
    // store may have dropped the changes since an old one from its history.
    bool list_may_be_old = false;
    // Returns the delay before the next watch call. Changes that happen in the
    // meantime arrive in one call.
    std::function<Duration()> batch_delay;
  };

  // Watches `kind` in the store at `store`. `protocol` and `epoch` have to
  // outlive the watcher; `seed` feeds the jitter of retries. Answers are
  // counted in `budget`, see HttpClient::Create.
  StoreWatcher(boost::asio::io_context& io,
               const Address& store,
               const StoreProtocol& protocol,
               StoreEpoch& epoch,
               std::string kind,
               uint64_t seed,
               Hooks hooks,
               const std::shared_ptr<ByteBudget>& budget = nullptr);

  // Requests the list, at first or after Stop.
  void Start();
  // Drops the open call; no hook is called until Start.
  void Stop();
  // Asks the store on another connection for changes since revision(). A watch
  // that has not reported them by then is dropped and begins anew. Does nothing
  // unless a watch is open and not being checked already.
  void Check();
  // Drops the open calls and lists the kind anew. After the store was restored
  // from an older copy, the revision of an open call may have been given out
  // again.
  void ListAnew();

  const std::string& kind() const { return kind_; }
  // The revision after which changes are asked for; zero before the first
  // complete list and after the store has dropped the history since.
  uint64_t revision() const { return revision_; }

 private:
  // A call for the changes after a revision.
  struct WatchCall {
    uint64_t since = 0;
    TimePoint sent_at;
  };

  // Requests the page of the list after the name `after`; empty for the first.
  void ListPage(const std::string& after);
  void OnListReply(const CallReply& reply);
  // Reports an answer to a call that was sent at `sent_at` to the owner.
  void Report(StoreUpdate update, TimePoint sent_at);
  // Waits for changes after revision_.
  void Watch();
  void OnWatchReply(const CallReply& reply, const WatchCall& call);
  void OnCheckReply(const CallReply& reply, const WatchCall& call);
  // Applies the changes in a reply to a watch call. Returns how many there were
  // that had not been reported, or nullopt after a failure, which it has
  // handled.
  std::optional<size_t> ApplyChanges(const CallReply& reply,
                                     const WatchCall& call);
  // Drops the open calls.
  void ResetConnections();
  void OnFailure(const std::string& reason);
  // Returns the delay after the last failure, without jitter.
  Duration RetryDelay() const;
  void OnSuccess();
  // Runs `step` after `delay` unless stopped.
  void RunAfter(Duration delay, std::function<void()> step);

  boost::asio::steady_timer timer_;
  StoreConnection connection_;
  StoreConnection check_connection_;
  const StoreProtocol& protocol_;
  const StoreEpoch& epoch_;
  std::string kind_;
  Rng rng_;
  Hooks hooks_;
  // Objects of the pages read so far while a list is read; empty otherwise.
  std::vector<StoredObject> listed_objects_;
  // Revision of the first page of that list, and when the page was asked for.
  uint64_t list_revision_ = 0;
  TimePoint list_sent_at_;
  uint64_t revision_ = 0;
  // Failed calls since the last success.
  uint32_t failures_ = 0;
  // Whether no list or watch has succeeded or failed since Start.
  bool just_started_ = true;
  // Whether on_lost was called without on_regained since.
  bool lost_ = false;
  bool stopped_ = false;
  // Whether a watch call is open, and whether a check of it is.
  bool watching_ = false;
  bool checking_ = false;
};

}  // namespace qh

#endif  // QH_GATEWAY_CONTROL_STORE_WATCHER_H_
