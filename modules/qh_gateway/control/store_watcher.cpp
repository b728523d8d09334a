#include "qh_gateway/control/store_watcher.h"

namespace qh {
namespace {

constexpr int kOk = 200;
// The store no longer keeps the changes since the revision asked for.
constexpr int kHistoryExpired = 410;
// How long a check lets the store wait for changes: it asks for those that are
// there.
constexpr Duration kCheckWait = std::chrono::milliseconds(1);

// Describes a failed call for the log.
std::string DescribeFailure(const CallReply& reply) {
  switch (reply.outcome) {
    case HttpCallOutcome::kNotSent:
      return "no connection";
    case HttpCallOutcome::kNoAnswer:
      return "no answer";
    case HttpCallOutcome::kAnswered:
      return "status " + std::to_string(reply.status);
  }
  return "unknown";
}

}  // namespace

StoreWatcher::StoreWatcher(boost::asio::io_context& io,
                           const Address& store,
                           const StoreProtocol& protocol,
                           StoreEpoch& epoch,
                           std::string kind,
                           uint64_t seed,
                           Hooks hooks,
                           const std::shared_ptr<ByteBudget>& budget)
    : timer_(io),
      connection_(io, store, protocol, epoch, budget),
      check_connection_(io, store, protocol, epoch, budget),
      protocol_(protocol),
      epoch_(epoch),
      kind_(std::move(kind)),
      rng_(seed),
      hooks_(std::move(hooks)) {}

void StoreWatcher::Start() {
  stopped_ = false;
  just_started_ = true;
  ListPage({});
}

void StoreWatcher::Stop() {
  stopped_ = true;
  timer_.cancel();
  ResetConnections();
}

void StoreWatcher::ResetConnections() {
  watching_ = false;
  checking_ = false;
  connection_.Reset();
  check_connection_.Reset();
}

void StoreWatcher::ListAnew() {
  if (stopped_) {
    return;
  }
  ResetConnections();
  revision_ = 0;
  RunAfter(rng_.Between(Duration::zero(), kFirstRetryDelay),
           [this] { ListPage({}); });
}

void StoreWatcher::ListPage(const std::string& after) {
  if (after.empty()) {
    listed_objects_.clear();
    list_sent_at_ = BootNow();
  }
  const bool may_be_old = hooks_.list_may_be_old && just_started_;
  connection_.Send(protocol_.list(kind_, after, may_be_old), kListTimeout,
                   [this](const CallReply& reply) { OnListReply(reply); });
}

void StoreWatcher::OnListReply(const CallReply& reply) {
  if (reply.outcome != HttpCallOutcome::kAnswered || reply.status != kOk) {
    OnFailure(DescribeFailure(reply));
    return;
  }
  const auto page = protocol_.read_list(reply.body);
  if (!page) {
    OnFailure(page.error().detail());
    return;
  }
  // The list has the revision of its first page. Changes made while the other
  // pages are read are reported once more by the first watch.
  if (listed_objects_.empty()) {
    list_revision_ = page.value().revision;
  }
  const auto& objects = page.value().objects;
  listed_objects_.insert(listed_objects_.end(), objects.begin(), objects.end());
  if (page.value().has_more && !objects.empty()) {
    ListPage(objects.back().name);
    return;
  }
  just_started_ = false;
  OnSuccess();
  Report({.objects = std::exchange(listed_objects_, {}),
          .version = {epoch_.current(), list_revision_}},
         list_sent_at_);
  Watch();
}

void StoreWatcher::Report(StoreUpdate update, TimePoint sent_at) {
  const StoreVersion known = hooks_.on_update(update);
  // The owner's version may be of an epoch that the store has not stated yet.
  revision_ = known.epoch == update.version.epoch ? known.revision
                                                  : update.version.revision;
  hooks_.on_confirmed(sent_at);
}

void StoreWatcher::Watch() {
  watching_ = true;
  const Duration wait = hooks_.watch_wait();
  connection_.Send(
      protocol_.watch(kind_, revision_, wait), wait + kWatchTimeoutSlack,
      [this, call = WatchCall{revision_, BootNow()}](const CallReply& reply) {
        OnWatchReply(reply, call);
      });
}

void StoreWatcher::OnWatchReply(const CallReply& reply, const WatchCall& call) {
  watching_ = false;
  if (!ApplyChanges(reply, call)) {
    return;
  }
  RunAfter(hooks_.batch_delay(), [this] { Watch(); });
}

void StoreWatcher::Check() {
  if (stopped_ || !watching_ || checking_) {
    return;
  }
  checking_ = true;
  check_connection_.Send(
      protocol_.watch(kind_, revision_, kCheckWait), kCheckTimeout,
      [this, call = WatchCall{revision_, BootNow()}](const CallReply& reply) {
        OnCheckReply(reply, call);
      });
}

void StoreWatcher::OnCheckReply(const CallReply& reply, const WatchCall& call) {
  checking_ = false;
  // The watch was answered meanwhile.
  if (!watching_) {
    return;
  }
  const auto changes = ApplyChanges(reply, call);
  if (changes && *changes > 0) {
    ResetConnections();
    RunAfter(hooks_.batch_delay(), [this] { Watch(); });
  }
}

std::optional<size_t> StoreWatcher::ApplyChanges(const CallReply& reply,
                                                 const WatchCall& call) {
  if (reply.outcome == HttpCallOutcome::kAnswered &&
      reply.status == kHistoryExpired) {
    revision_ = 0;
    ResetConnections();
    ListPage({});
    return std::nullopt;
  }
  if (reply.outcome != HttpCallOutcome::kAnswered || reply.status != kOk) {
    OnFailure(DescribeFailure(reply));
    return std::nullopt;
  }
  const auto events = protocol_.read_events(reply.body);
  if (!events) {
    OnFailure(events.error().detail());
    return std::nullopt;
  }
  OnSuccess();
  const ObjectPage& page = events.value();
  if (page.revision <= revision_) {
    hooks_.on_confirmed(call.sent_at);
    return 0;
  }
  const uint64_t epoch = epoch_.current();
  Report({.objects = page.objects,
          .version = {epoch, page.revision},
          .since = StoreVersion{epoch, call.since}},
         call.sent_at);
  return page.objects.size();
}

void StoreWatcher::OnSuccess() {
  hooks_.on_call(true);
  failures_ = 0;
  if (std::exchange(lost_, false)) {
    hooks_.on_regained();
  }
}

void StoreWatcher::OnFailure(const std::string& reason) {
  just_started_ = false;
  if (watching_) {
    // A check failed, so that nothing is expected of the open watch either.
    ResetConnections();
  }
  hooks_.on_call(false);
  ++failures_;
  if (failures_ >= kFailuresUntilLost && !std::exchange(lost_, true)) {
    hooks_.on_lost(reason);
  }
  // The store may already have dropped changes made while the watch failed from
  // its history, so the whole kind is listed again.
  const Duration delay = RetryDelay();
  RunAfter(rng_.Between(delay / 2, delay), [this] { ListPage({}); });
}

Duration StoreWatcher::RetryDelay() const {
  Duration delay = kFirstRetryDelay;
  for (uint32_t failure = 1; failure < failures_ && delay < kMaxRetryDelay;
       ++failure) {
    delay *= 2;
  }
  return std::min<Duration>(delay, kMaxRetryDelay);
}

void StoreWatcher::RunAfter(Duration delay, std::function<void()> step) {
  timer_.expires_after(delay);
  timer_.async_wait(
      [this, step = std::move(step)](const boost::system::error_code& error) {
        if (!error && !stopped_) {
          step();
        }
      });
}

}  // namespace qh
