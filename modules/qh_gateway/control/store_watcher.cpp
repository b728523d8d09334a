#include "qh_gateway/control/store_watcher.h"

namespace qh {
namespace {

constexpr int kOk = 200;
constexpr int kHistoryGone = 410;

std::string WhyFailed(const CallReply& reply) {
  switch (reply.outcome) {
    case HttpCallOutcome::kNotSent:
      return "not reached";
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
                           std::string kind,
                           uint64_t seed,
                           Hooks hooks)
    : retry_(io),
      client_(HttpClient::Create(io, store)),
      protocol_(protocol),
      kind_(std::move(kind)),
      rng_(seed),
      hooks_(std::move(hooks)) {}

void StoreWatcher::Start() {
  List({});
}

void StoreWatcher::Stop() {
  stopped_ = true;
  retry_.cancel();
  client_->Stop();
}

void StoreWatcher::List(const std::string& after) {
  if (after.empty()) {
    listed_.clear();
  }
  client_->Send(protocol_.list(kind_, after), kListLimit,
                [this](const CallReply& reply) { OnListReply(reply); });
}

void StoreWatcher::OnListReply(const CallReply& reply) {
  if (reply.outcome != HttpCallOutcome::kAnswered || reply.status != kOk) {
    OnFailure(WhyFailed(reply));
    return;
  }
  const auto page = protocol_.read_list(reply.body);
  if (!page) {
    OnFailure(page.error().detail());
    return;
  }
  // The first page's revision stands for the list: what changes while the other
  // pages are read comes again as an event.
  if (listed_.empty()) {
    list_revision_ = page.value().revision;
  }
  const auto& objects = page.value().objects;
  listed_.insert(listed_.end(), objects.begin(), objects.end());
  if (page.value().has_more && !objects.empty()) {
    List(objects.back().name);
    return;
  }
  OnSuccess();
  revision_ = list_revision_;
  hooks_.on_list(listed_);
  listed_.clear();
  hooks_.on_confirmed(revision_);
  Watch();
}

void StoreWatcher::Watch() {
  const Duration wait = hooks_.wait();
  client_->Send(protocol_.watch(kind_, revision_, wait), wait + kWatchSlack,
                [this](const CallReply& reply) { OnWatchReply(reply); });
}

void StoreWatcher::OnWatchReply(const CallReply& reply) {
  if (reply.outcome == HttpCallOutcome::kAnswered &&
      reply.status == kHistoryGone) {
    revision_ = 0;
    List({});
    return;
  }
  if (reply.outcome != HttpCallOutcome::kAnswered || reply.status != kOk) {
    OnFailure(WhyFailed(reply));
    return;
  }
  const auto events = protocol_.read_events(reply.body);
  if (!events) {
    OnFailure(events.error().detail());
    return;
  }
  OnSuccess();
  for (const StoredObject& object : events.value().objects) {
    hooks_.on_change(object);
  }
  revision_ = std::max(revision_, events.value().revision);
  hooks_.on_confirmed(revision_);
  After(hooks_.gather(), [this] { Watch(); });
}

void StoreWatcher::OnSuccess() {
  hooks_.on_call(true);
  failures_ = 0;
  if (std::exchange(lost_, false)) {
    hooks_.on_regained();
  }
}

void StoreWatcher::OnFailure(const std::string& why) {
  hooks_.on_call(false);
  ++failures_;
  if (failures_ >= kFailuresToLost && !std::exchange(lost_, true)) {
    hooks_.on_lost(why);
  }
  // What happened while a watch failed may be missing from the history that the
  // store still has, so the whole kind is read again.
  After(rng_.Between(kRetryPause / 2, kRetryPause), [this] { List({}); });
}

void StoreWatcher::After(Duration pause, std::function<void()> step) {
  retry_.expires_after(pause);
  retry_.async_wait(
      [this, step = std::move(step)](const boost::system::error_code& error) {
        if (!error && !stopped_) {
          step();
        }
      });
}

}  // namespace qh
