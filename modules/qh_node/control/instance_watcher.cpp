#include "qh_node/control/instance_watcher.h"

#include <string>

#include "qh_core/log/log_line.h"

namespace qh {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(250);
constexpr Duration kWatcherPollInterval = std::chrono::milliseconds(500);
constexpr Duration kDefaultPollInterval = std::chrono::seconds(30);
constexpr Duration kNoticeTimeout = std::chrono::milliseconds(300);
constexpr const char* kNodeRole = "node";

Member ToMember(const ListedInstance& instance) {
  Member member;
  member.id = InstanceId(instance.id);
  member.failure_domain = instance.failure_domain;
  member.callers = {instance.host, instance.port};
  member.peers = {instance.host, instance.peer_port};
  member.state = instance.state == InstanceState::kLeaving
                     ? MemberState::kLeaving
                     : MemberState::kLive;
  return member;
}

}  // namespace

InstanceWatcher::InstanceWatcher(const InstanceId& self,
                                 PeerClient& client,
                                 InstanceWatcherHooks hooks)
    : self_(self), client_(client), hooks_(std::move(hooks)) {}

void InstanceWatcher::Start() {
  ticker_ = std::make_unique<Ticker>(kTickInterval, [this] { Tick(); });
}

void InstanceWatcher::Tick() {
  const TimePoint now = MonotonicNow();
  const bool poll_often = hooks_.is_watcher() || !hooks_.has_joined();
  if (now < next_read_ &&
      !(poll_often && next_read_ > now + kWatcherPollInterval)) {
    return;
  }
  next_read_ = now + (poll_often ? kWatcherPollInterval : kDefaultPollInterval);
  const auto list = hooks_.list();
  if (!list) {
    LogLine("instance_list_unavailable").With(list.error()).Debug();
    return;
  }
  ReportNodes(list.value());
  for (const ListedInstance& instance : list.value()) {
    if (instance.role != kNodeRole) {
      ReportServer(instance);
    } else if (instance.state == InstanceState::kLeaving) {
      ForwardNotice(instance);
    }
  }
}

void InstanceWatcher::ReportNodes(const std::vector<ListedInstance>& list) {
  MembershipEvent event;
  event.kind = MembershipEventKind::kInstancesListed;
  for (const ListedInstance& instance : list) {
    if (instance.role == kNodeRole) {
      event.listed.push_back(ToMember(instance));
    }
  }
  hooks_.on_membership_event(event);
}

void InstanceWatcher::ReportServer(const ListedInstance& instance) {
  const ServerId id(instance.id);
  const auto [known, added] = servers_.try_emplace(id, InstanceState::kLive);
  if (known->second == instance.state) {
    return;
  }
  known->second = instance.state;
  MembershipEvent event;
  event.kind = MembershipEventKind::kServerNotice;
  event.server.id = id;
  event.server.leaving = instance.state == InstanceState::kLeaving;
  hooks_.on_membership_event(event);
}

// Another node gets the notice by a call, because it may poll the list only
// every 30 s.
void InstanceWatcher::ForwardNotice(const ListedInstance& instance) {
  if (instance.id == self_.value()) {
    hooks_.on_reclaim_notice(instance.notice_s);
    return;
  }
  const auto reply = client_.Call(
      {instance.host, instance.peer_port},
      {PeerCallKind::kReclaimNotice, std::to_string(instance.notice_s)},
      kNoticeTimeout);
  if (!reply) {
    LogLine("reclaim_notice_not_told").With(reply.error()).Debug();
  }
}

}  // namespace qh
