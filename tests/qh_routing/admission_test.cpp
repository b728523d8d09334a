// Admission: capacity, queueing, early refusal, fairness between teams, load
// shedding.

#include "qh_routing/admission/admission.h"

#include <catch2/catch.hpp>
#include <cmath>

namespace qh {
namespace {

std::string Numbered(std::string prefix, int64_t number) {
  prefix += std::to_string(number);
  return prefix;
}

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1'000)};

RouteQuery MakeQuery(const std::string& id,
                     const std::string& team,
                     RequestClass request_class = RequestClass::kInteractive,
                     TimePoint now = kStart) {
  RouteQuery query;
  query.request = RequestId(id);
  query.team = TeamId(team);
  query.request_class = request_class;
  query.prompt_tokens = 400;
  query.max_output_tokens = 100;
  query.deadline =
      now + seconds(request_class == RequestClass::kBatch ? 60 : 5);
  return query;
}

// One server with a fixed limit.
struct Server {
  double limit = 4;
  double in_flight = 0;
  Duration ttfb = milliseconds(50);

  AdmissionHooks hooks() {
    return {[this](const RouteQuery&) -> Result<RouteChoice> {
              RouteChoice choice;
              choice.in_flight = in_flight;
              choice.limit = limit;
              choice.has_capacity = in_flight + 1 <= limit;
              choice.expected_ttfb = ttfb;
              return choice;
            },
            [this](const RouteQuery&, const RouteChoice&) { ++in_flight; }};
  }
};

}  // namespace

TEST_CASE("a request that cannot meet its deadline is refused at once") {
  Server server;
  server.ttfb = seconds(8);
  Admission admission({}, 1);
  const auto decision =
      admission.OnArrival(MakeQuery("a", "t"), server.hooks(), kStart);
  CHECK(decision.kind == AdmissionDecisionKind::kRefuse);
  CHECK(decision.error == ErrorKind::kDeadlineUnreachable);
  CHECK(AnswerFor(decision.error).executed == Executed::kNo);
  // Its first byte would be 3 s late, so an earlier retry would fail too.
  CHECK(decision.retry_after >= seconds(3));
  CHECK(server.in_flight == 0);
}

TEST_CASE("a waiting request is refused once it cannot meet its target") {
  Server server;
  server.limit = 0.5;
  Admission admission({}, 1);
  REQUIRE(
      admission.OnArrival(MakeQuery("a", "t"), server.hooks(), kStart).kind ==
      AdmissionDecisionKind::kQueue);
  CHECK(admission.Advance(server.hooks(), kStart + milliseconds(100)).empty());
  const auto decisions =
      admission.Advance(server.hooks(), kStart + milliseconds(620));
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].kind == AdmissionDecisionKind::kRefuse);
  CHECK(admission.waiting() == 0);
}

TEST_CASE("batch requests leave capacity for interactive requests") {
  Server server;
  server.limit = 10;
  Admission admission({}, 1);
  int batch = 0;
  for (int i = 0; i < 20; ++i) {
    batch +=
        admission
            .OnArrival(MakeQuery(Numbered("b", i), "t", RequestClass::kBatch),
                       server.hooks(), kStart)
            .kind == AdmissionDecisionKind::kAdmit;
  }
  CHECK(batch == 8);
  CHECK(admission.OnArrival(MakeQuery("i", "t"), server.hooks(), kStart).kind ==
        AdmissionDecisionKind::kAdmit);
}

TEST_CASE("a full queue rejects requests of the team that fills it") {
  FairQueue queue(10);
  for (int i = 0; i < 10; ++i) {
    CHECK_FALSE(queue.Push({MakeQuery(Numbered("l", i), "large"), kStart}));
  }
  const auto own = queue.Push({MakeQuery("l10", "large"), kStart});
  REQUIRE(own);
  CHECK(own->query.request == RequestId("l10"));
  const auto other = queue.Push({MakeQuery("s0", "small"), kStart});
  REQUIRE(other);
  CHECK(other->query.request == RequestId("l9"));
  CHECK(queue.SizeOf(TeamId("small")) == 1);
}

TEST_CASE("teams keep their fair share when one of them floods the node") {
  // Team 0 sends a request in every step; each other team sends slightly less
  // than its fair share.
  constexpr int kTeams = 5;
  Server server;
  server.limit = 4;
  AdmissionOptions options;
  options.overcommit_factor = 1;
  Admission admission(options, 1);
  Rng rng(3);
  std::vector<double> demand(kTeams, 0);
  std::vector<double> served(kTeams, 0);
  const auto count_served = [&](const AdmissionDecision& decision) {
    if (decision.kind == AdmissionDecisionKind::kAdmit) {
      ++served[size_t(std::stoi(decision.query.team.value()))];
    }
  };
  // Capacity: one request ends every 10 ms.
  for (int step = 0; step < 20'000; ++step) {
    const TimePoint now = kStart + step * milliseconds(10);
    if (server.in_flight > 0) {
      --server.in_flight;
    }
    for (const auto& decision : admission.Advance(server.hooks(), now)) {
      count_served(decision);
    }
    for (int team = 0; team < kTeams; ++team) {
      if (rng.Chance(team == 0 ? 1.0 : 0.19)) {
        ++demand[size_t(team)];
        count_served(admission.OnArrival(
            MakeQuery(Numbered(Numbered("", step) + "-", team),
                      std::to_string(team), RequestClass::kInteractive, now),
            server.hooks(), now));
      }
    }
  }
  double sum = 0;
  double squares = 0;
  for (int team = 0; team < kTeams; ++team) {
    const double share =
        served[size_t(team)] / std::min(demand[size_t(team)], 0.2 * 20'000);
    sum += std::min(1.0, share);
    squares += std::min(1.0, share) * std::min(1.0, share);
  }
  CHECK(sum * sum / (kTeams * squares) > 0.95);
}

TEST_CASE("at most the allowed share of interactive requests is late") {
  Server server;
  server.limit = 1e6;
  server.ttfb = milliseconds(900);
  Admission admission({}, 1);
  int admitted = 0;
  for (int i = 0; i < 1'000; ++i) {
    server.ttfb = milliseconds(i % 2 == 0 ? 900 : 50);
    const RouteQuery query = MakeQuery(Numbered("q", i), "t");
    const auto decision = admission.OnArrival(query, server.hooks(), kStart);
    if (decision.kind == AdmissionDecisionKind::kAdmit) {
      admission.OnFirstByte(query, server.ttfb);
      admitted += i % 2 == 0;
    }
  }
  CHECK(admitted > 0);
  CHECK(admitted <= 0.05 * (500 + admitted));
}

TEST_CASE("the request of a disconnected caller leaves the queue") {
  Server server;
  server.limit = 0.5;
  Admission admission({}, 1);
  admission.OnArrival(MakeQuery("a", "t"), server.hooks(), kStart);
  REQUIRE(admission.waiting() == 1);
  admission.OnCallerGone(RequestId("a"));
  CHECK(admission.waiting() == 0);
}

}  // namespace qh
