// Rules of the membership state machine, on one node.

#include "qh_membership/membership.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>

namespace qh {
namespace {

Member NodeNamed(const std::string& name) {
  Member member;
  member.id = InstanceId(name);
  member.failure_domain = FailureDomainId("a");
  member.callers = {"127.0.0.1", 1};
  member.peers = {name, 2};
  return member;
}

Membership MembershipOf(const std::string& name) {
  return std::move(Membership::Create(NodeNamed(name), {}, 1)).value();
}

TimePoint At(double seconds) {
  return TimePoint(FromSeconds(seconds));
}

// Returns a push message from n1 that carries `members`.
MembershipEvent PushWith(std::vector<Member> members) {
  MembershipEvent event;
  event.kind = MembershipEventKind::kRequest;
  event.message.kind = GossipMessageKind::kPush;
  event.message.sender.id = InstanceId("n1");
  event.message.members = std::move(members);
  return event;
}

// Returns kDead for an unknown member.
MemberState StateOf(const Membership& membership, const std::string& name) {
  for (const Member& member : membership.members()) {
    if (member.id.value() == name) {
      return member.state;
    }
  }
  return MemberState::kDead;
}

// Advances the membership every 100 ms between the times `from` and `to`, in
// seconds, and returns all actions.
MembershipActions RunTicks(Membership& membership, double from, double to) {
  MembershipActions all;
  const int ticks = static_cast<int>(std::ceil((to - from) / 0.1 - 1e-6));
  for (int tick = 0; tick < ticks; ++tick) {
    const TimePoint now = At(from + 0.1 * tick);
    for (MembershipAction& action : membership.Advance({}, now)) {
      all.push_back(std::move(action));
    }
  }
  return all;
}

size_t CountCalls(const MembershipActions& actions, GossipMessageKind kind) {
  return static_cast<size_t>(std::count_if(
      actions.begin(), actions.end(), [&](const MembershipAction& action) {
        return action.kind == MembershipActionKind::kCall &&
               action.message.kind == kind;
      }));
}

}  // namespace

TEST_CASE("a node needs an id and an address") {
  CHECK_FALSE(Membership::Create({}, {}, 1));
}

TEST_CASE("an unresponsive member is suspected, then declared dead") {
  Membership membership = MembershipOf("n0");
  membership.Advance(PushWith({NodeNamed("n1")}), At(0));
  RunTicks(membership, 0, 1.5);
  CHECK(StateOf(membership, "n1") == MemberState::kSuspect);
  CHECK(membership.live_count() == 2);
  RunTicks(membership, 1.5, 6);
  CHECK(StateOf(membership, "n1") == MemberState::kDead);
  CHECK(membership.live_count() == 1);
}

TEST_CASE("a suspicion of this node is refuted by a larger incarnation") {
  Membership membership = MembershipOf("n0");
  Member suspect = NodeNamed("n0");
  suspect.state = MemberState::kSuspect;
  suspect.incarnation = 3;
  const auto actions = membership.Advance(PushWith({suspect}), At(0));
  CHECK(membership.self().incarnation == 4);
  REQUIRE(actions.size() == 1);
  REQUIRE(actions[0].kind == MembershipActionKind::kReply);
  REQUIRE(actions[0].message.members.size() == 1);
  CHECK(actions[0].message.members[0].state == MemberState::kLive);
}

TEST_CASE("a refuted suspicion does not end in death") {
  Membership membership = MembershipOf("n0");
  Member suspect = NodeNamed("n2");
  suspect.state = MemberState::kSuspect;
  membership.Advance(PushWith({suspect}), At(0));
  Member refuted = NodeNamed("n2");
  refuted.incarnation = 1;
  membership.Advance(PushWith({refuted}), At(0.05));
  membership.Advance(PushWith({suspect}), At(0.1));
  CHECK(StateOf(membership, "n2") == MemberState::kLive);
}

TEST_CASE("a node that was paused declares no member dead") {
  Membership membership = MembershipOf("n0");
  Member suspect = NodeNamed("n2");
  suspect.state = MemberState::kSuspect;
  membership.Advance(PushWith({NodeNamed("n1"), suspect}), At(0));
  RunTicks(membership, 0, 0.5);
  const auto actions = membership.Advance({}, At(30));
  CHECK(StateOf(membership, "n1") == MemberState::kLive);
  CHECK(StateOf(membership, "n2") == MemberState::kSuspect);
  CHECK(CountCalls(actions, GossipMessageKind::kSync) >= 2);
}

TEST_CASE("without the pause check a resumed node declares a member dead") {
  MembershipOptions options;
  options.guards.tick_gap = false;
  Membership membership =
      std::move(Membership::Create(NodeNamed("n0"), options, 1)).value();
  Member suspect = NodeNamed("n2");
  suspect.state = MemberState::kSuspect;
  membership.Advance(PushWith({suspect}), At(0));
  RunTicks(membership, 0, 0.5);
  membership.Advance({}, At(30));
  CHECK(StateOf(membership, "n2") == MemberState::kDead);
}

TEST_CASE("a reclaim notice is pushed at once to several members") {
  Membership membership = MembershipOf("n0");
  std::vector<Member> others;
  for (int i = 1; i < 9; ++i) {
    others.push_back(NodeNamed("n" + std::to_string(i)));
  }
  membership.Advance(PushWith(others), At(0));
  membership.Advance({}, At(0.1));
  MembershipEvent notice;
  notice.kind = MembershipEventKind::kReclaimNotice;
  membership.Advance(notice, At(0.15));
  const auto actions = membership.Advance({}, At(0.2));
  CHECK(CountCalls(actions, GossipMessageKind::kPush) == 4);
  CHECK(membership.self().state == MemberState::kLeaving);
  CHECK(membership.self().incarnation == 1);
}

TEST_CASE("a leaving member stays leaving while it is suspected") {
  Membership membership = MembershipOf("n0");
  Member leaving = NodeNamed("n1");
  leaving.state = MemberState::kLeaving;
  leaving.incarnation = 1;
  membership.Advance(PushWith({leaving}), At(0));
  Member suspect = NodeNamed("n1");
  suspect.state = MemberState::kSuspect;
  suspect.incarnation = 1;
  membership.Advance(PushWith({suspect}), At(0.1));
  CHECK(StateOf(membership, "n1") == MemberState::kLeaving);
}

TEST_CASE("a server's notice and its withdrawal win by version") {
  Membership membership = MembershipOf("n0");
  const ServerId server("s1");
  const auto receive = [&](uint64_t version, bool leaving) {
    MembershipEvent event = PushWith({});
    event.message.servers = {{server, version, leaving}};
    membership.Advance(event, At(0));
  };
  receive(1, true);
  CHECK(membership.IsLeaving(server));
  receive(2, false);
  CHECK_FALSE(membership.IsLeaving(server));
  receive(1, true);
  CHECK_FALSE(membership.IsLeaving(server));
  receive(2, true);
  CHECK(membership.IsLeaving(server));
}

TEST_CASE("a node syncs with a peer that has other notices") {
  Membership membership = MembershipOf("n0");
  MembershipEvent ping = PushWith({NodeNamed("n1")});
  ping.message.kind = GossipMessageKind::kPing;
  ping.message.notices_hash = 7;
  const auto actions = membership.Advance(ping, At(1));
  CHECK(CountCalls(actions, GossipMessageKind::kSync) == 1);
}

TEST_CASE("a notice expires by the age since its first announcement") {
  Membership membership = MembershipOf("n0");
  MembershipEvent event = PushWith({});
  event.message.servers = {{ServerId("s1"), 1, true, 1'790},
                           {ServerId("s2"), 1, true, 1'900}};
  membership.Advance(event, At(10));
  CHECK(membership.IsLeaving(ServerId("s1")));
  CHECK_FALSE(membership.IsLeaving(ServerId("s2")));
  membership.Advance({}, At(21));
  CHECK_FALSE(membership.IsLeaving(ServerId("s1")));
}

TEST_CASE("the platform's list neither adds nor removes members") {
  Membership membership = MembershipOf("n0");
  membership.Advance(PushWith({NodeNamed("n1")}), At(0));
  MembershipEvent listed;
  listed.kind = MembershipEventKind::kInstancesListed;
  listed.listed = {NodeNamed("n2")};
  membership.Advance(listed, At(0));
  CHECK(membership.members().size() == 2);
  CHECK(StateOf(membership, "n1") == MemberState::kLive);
  CHECK(CountCalls(membership.Advance({}, At(0.1)), GossipMessageKind::kSync) >=
        1);
}

TEST_CASE("a large cell's messages stay bounded") {
  Membership membership = MembershipOf("n0");
  std::vector<Member> others;
  std::vector<ServerNotice> servers;
  for (int i = 1; i < 500; ++i) {
    others.push_back(NodeNamed("n" + std::to_string(i)));
    others.back().digest = std::string(kMaxDigestBytes, 'x');
    servers.push_back({ServerId("s" + std::to_string(i)), 1, true});
  }
  MembershipEvent event = PushWith(others);
  event.message.servers = servers;
  membership.Advance(event, At(0));
  for (const auto& action : RunTicks(membership, 0, 30)) {
    if (action.kind == MembershipActionKind::kCall) {
      CHECK(action.message.Encode().size() < kMaxGossipMessageBytes);
    }
  }
}

}  // namespace qh
