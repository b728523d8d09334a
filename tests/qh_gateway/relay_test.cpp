// Relays of a large deployment: which nodes act as relays and follow the store,
// the sums that they exchange, and which nodes callers are given.

#include <catch2/catch.hpp>

#include "qh_core/random/rng.h"
#include "qh_gateway/control/peer_digest.h"
#include "qh_gateway/decisions/nodes/node_table.h"
#include "qh_gateway/decisions/nodes/relay_ranking.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1'000)};
const FailureDomainId kDomain("a");
const TeamId kTeam("t");

std::string NameOf(size_t i) {
  return "n" + std::to_string(i);
}

// The nodes of one failure domain, each with its own view. Relays tell all
// others of themselves in every step, unless they are down.
struct Domain {
  explicit Domain(size_t size) {
    for (size_t i = 0; i < size; ++i) {
      views.emplace_back(NameOf(i), kDomain, 1.0);
    }
    up.assign(size, true);
    follows.assign(size, false);
    due_since.assign(size, std::nullopt);
    for (size_t i = 0; i < size; ++i) {
      for (size_t other = 0; other < size; ++other) {
        views[i].OnListed(NameOf(other), kDomain, 1.0, now);
      }
    }
  }

  void Step() {
    now += milliseconds(150);
    for (size_t i = 0; i < views.size(); ++i) {
      if (up[i]) {
        Decide(i);
      }
    }
    for (size_t from = 0; from < views.size(); ++from) {
      if (up[from] && views[from].IsRelay(now)) {
        Tell(from);
      }
    }
  }
  void Decide(size_t i) {
    const auto delay = views[i].FollowDelay(now);
    due_since[i] =
        delay ? std::optional(due_since[i].value_or(now)) : std::nullopt;
    follows[i] = delay && now - *due_since[i] >= *delay;
    views[i].SetOwnState(false, follows[i] && !refused.contains(i));
  }
  void Tell(size_t from) {
    for (size_t to = 0; to < views.size(); ++to) {
      if (to == from || !up[to]) {
        continue;
      }
      views[to].OnRelayHeard(
          NameOf(from), follows[from] && !refused.contains(from), false, now);
      for (size_t i = 0; i < views.size(); ++i) {
        if (up[i]) {
          views[to].OnAlive(NameOf(i), now);
        }
      }
    }
  }
  void RunFor(Duration duration) {
    for (Duration run{}; run < duration; run += milliseconds(150)) {
      Step();
    }
  }
  std::vector<size_t> RelaysUp() const {
    std::vector<size_t> relays;
    for (size_t i = 0; i < views.size(); ++i) {
      if (up[i] && views[i].IsRelay(now)) {
        relays.push_back(i);
      }
    }
    return relays;
  }
  // Nodes that follow the store and are answered.
  size_t Followers() const {
    size_t count = 0;
    for (size_t i = 0; i < views.size(); ++i) {
      count += up[i] && follows[i] && !refused.contains(i) ? 1 : 0;
    }
    return count;
  }

  TimePoint now = kStart;
  std::vector<RelayRanking> views;
  std::vector<bool> up;
  std::vector<bool> follows;
  std::vector<std::optional<TimePoint>> due_since;
  // Nodes that the store refuses.
  std::set<size_t> refused;
};

PeerHeartbeat Report(const std::string& node, double units, uint32_t requests) {
  PeerHeartbeat heartbeat;
  heartbeat.node = node;
  heartbeat.incarnation = node + "-1";
  heartbeat.failure_domain = kDomain;
  heartbeat.team_totals = {{kTeam, units}};
  heartbeat.outstanding_work = {{ServerId("s"), {requests, 10, 100}}};
  heartbeat.ready = true;
  return heartbeat;
}

}  // namespace

TEST_CASE("two relays of a failure domain serve all, one follows the store") {
  const size_t size = GENERATE(1, 2, 3, 20, 130);
  Domain domain(size);
  domain.RunFor(seconds(6));
  CHECK(domain.RelaysUp().size() == std::min(size, RelayRanking::kRelays));
  CHECK(domain.Followers() == 1);
}

// A failure domain loses half of its nodes at once, the relays among them.
TEST_CASE("other nodes take over from relays that are lost together") {
  Domain domain(20);
  domain.RunFor(seconds(6));
  Rng rng(GENERATE(range(1, 20)));
  for (const size_t relay : domain.RelaysUp()) {
    domain.up[relay] = false;
  }
  for (size_t lost = 0; lost < 8; ++lost) {
    domain.up[rng.Below(20)] = false;
  }
  // The silence is noticed, and the next ones act.
  domain.RunFor(RelayRanking::kSilentAfter + 6 * RelayRanking::kTakeoverStep);
  CHECK(domain.Followers() >= 1);
  CHECK_FALSE(domain.RelaysUp().empty());
  domain.RunFor(RelayRanking::kLostAfter + seconds(3));
  CHECK(domain.RelaysUp().size() == RelayRanking::kRelays);
  CHECK(domain.Followers() == 1);
}

// The store turns some nodes away and answers the others.
TEST_CASE("a relay that the store refuses is replaced as its reader") {
  Domain domain(20);
  domain.RunFor(seconds(6));
  for (const size_t relay : domain.RelaysUp()) {
    domain.refused.insert(relay);
  }
  domain.RunFor(seconds(3));
  CHECK(domain.Followers() >= 1);
}

TEST_CASE("the leader is a relay, and larger nodes come before smaller ones") {
  RelayRanking ranking("self", kDomain, 1.0);
  for (const char* node : {"b", "c", "d", "e"}) {
    ranking.OnListed(node, kDomain, 5.0, kStart);
  }
  CHECK_FALSE(ranking.Relays(kDomain, kStart).front() == "self");
  ranking.SetOwnState(true, true);
  CHECK(ranking.Relays(kDomain, kStart).front() == "self");
  CHECK(ranking.IsRelay(kStart));
}

TEST_CASE("a relay's sums hold every node but the receiver once") {
  PeerDigest digest;
  const Duration uptime = seconds(50);
  digest.OnHeartbeat("b", Report("b", 10, 2), true, uptime, kStart);
  digest.OnHeartbeat("c", Report("c", 20, 3), true, uptime, kStart);
  PeerHeartbeat other = Report("x", 1'000, 7);
  other.scope = HeartbeatScope::kDomain;
  other.failure_domain = FailureDomainId("other");
  // The first totals of a relay may have been reported by another one.
  digest.OnHeartbeat("domain:other", other, true, uptime, kStart);
  other.team_totals[kTeam] = 1'040;
  digest.OnHeartbeat("domain:other", other, true, uptime, kStart);
  const PeerHeartbeat own = Report("self", 5, 1);

  const PeerHeartbeat domain = digest.OfDomain(own, kStart);
  CHECK(domain.team_totals.at(kTeam) == 35);
  CHECK(domain.outstanding_work.at(ServerId("s")).requests == 6);
  CHECK(domain.outstanding_work.at(ServerId("s")).kv_tokens == 300);
  CHECK(domain.members.size() == 3);
  const PeerHeartbeat for_b = digest.OfDeploymentWithout("b", own, kStart);
  CHECK(for_b.team_totals.at(kTeam) == 65);
  CHECK(for_b.outstanding_work.at(ServerId("s")).requests == 11);
  SECTION("a silent node's work is dropped, what it used stays") {
    const PeerHeartbeat later =
        digest.OfDomain(own, kStart + PeerDigest::kSourceLifetime);
    CHECK(later.team_totals.at(kTeam) == 35);
    CHECK(later.outstanding_work.at(ServerId("s")).requests == 1);
  }
  SECTION("totals rise when a process restarts") {
    PeerHeartbeat restarted = Report("b", 3, 0);
    restarted.incarnation = "b-2";
    digest.OnHeartbeat("b", restarted, true, uptime, kStart);
    CHECK(digest.OfDomain(own, kStart).team_totals.at(kTeam) == 38);
  }
}

TEST_CASE("one of the relays that report the same nodes counts") {
  PrimaryRelays primaries;
  CHECK(primaries.Accept("domain:a", "r1", kStart));
  CHECK_FALSE(primaries.Accept("domain:a", "r2", kStart));
  CHECK(primaries.Accept("domain:b", "r2", kStart));
  const TimePoint later = kStart + PrimaryRelays::kSilentAfter;
  CHECK(primaries.Accept("domain:a", "r2", later));
  CHECK_FALSE(primaries.Accept("domain:a", "r1", later));
}

// Callers drop their connections to nodes that they are no longer given, and a
// caller takes only so many addresses.
TEST_CASE("callers of a large deployment are given nearby nodes, evenly") {
  NodeTable nodes("self", FailureDomainId("d0"));
  const auto add = [&](size_t i) {
    nodes.OnListed(NameOf(i), {"10.0.0.1", 1},
                   FailureDomainId("d" + std::to_string(i % 6)), kStart);
    NodeState state;
    state.callers = {"10.0.0.2", static_cast<uint16_t>(i)};
    state.ready = true;
    nodes.OnHeartbeat(NameOf(i), state, kStart);
  };
  for (size_t i = 0; i < 117; ++i) {
    add(i);
  }
  std::map<uint16_t, int> given;
  for (size_t domain = 0; domain < 6; ++domain) {
    const auto usable = nodes.Usable(
        std::nullopt, FailureDomainId("d" + std::to_string(domain)), kStart,
        kStart);
    REQUIRE(usable.size() == NodeTable::kMaxUsable);
    size_t near = 0;
    for (const Address& node : usable) {
      near += node.port % 6 == domain ? 1 : 0;
      ++given[node.port];
    }
    CHECK(near >= 19);
  }
  CHECK(given.size() == 117);
  const auto before =
      nodes.Usable(std::nullopt, FailureDomainId("d1"), kStart, kStart);
  add(200);
  const auto after =
      nodes.Usable(std::nullopt, FailureDomainId("d1"), kStart, kStart);
  size_t kept = 0;
  for (const Address& node : after) {
    kept += std::find(before.begin(), before.end(), node) != before.end();
  }
  CHECK(kept >= NodeTable::kMaxUsable - 1);
}

}  // namespace qh
