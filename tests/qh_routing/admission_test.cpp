// Admission: room, queue, refusal in time, fairness between teams, shedding.

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

RouteQuery Query(const std::string& id,
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
  Duration first_part = milliseconds(50);

  AdmissionHooks hooks() {
    return {[this](const RouteQuery&) -> Result<RouteChoice> {
              RouteChoice choice;
              choice.in_flight = in_flight;
              choice.limit = limit;
              choice.has_room = in_flight + 1 <= limit;
              choice.expected_first_part = first_part;
              return choice;
            },
            [this](const RouteQuery&, const RouteChoice&) { ++in_flight; }};
  }
};

}  // namespace

TEST_CASE("a request that can't make it is refused at once") {
  Server server;
  server.first_part = seconds(8);
  Admission admission({}, 1);
  const auto verdict =
      admission.OnArrival(Query("a", "t"), server.hooks(), kStart);
  CHECK(verdict.kind == AdmissionDecisionKind::kRefuse);
  CHECK(verdict.error == ErrorKind::kDeadlineUnreachable);
  CHECK(AnswerFor(verdict.error).executed == Executed::kNo);
  // It comes 3 s late, so coming back sooner than that is of no use.
  CHECK(verdict.retry_after >= seconds(3));
  CHECK(server.in_flight == 0);
}

TEST_CASE("a waiting request is refused once it can't make it any more") {
  Server server;
  server.limit = 0.5;
  Admission admission({}, 1);
  REQUIRE(admission.OnArrival(Query("a", "t"), server.hooks(), kStart).kind ==
          AdmissionDecisionKind::kQueue);
  CHECK(admission.Advance(server.hooks(), kStart + milliseconds(100)).empty());
  const auto verdicts =
      admission.Advance(server.hooks(), kStart + milliseconds(620));
  REQUIRE(verdicts.size() == 1);
  CHECK(verdicts[0].kind == AdmissionDecisionKind::kRefuse);
  CHECK(admission.waiting() == 0);
}

TEST_CASE("batch leaves room for interactive work and yields in the queue") {
  Server server;
  server.limit = 10;
  Admission admission({}, 1);
  int batch = 0;
  for (int i = 0; i < 20; ++i) {
    batch += admission
                 .OnArrival(Query(Numbered("b", i), "t", RequestClass::kBatch),
                            server.hooks(), kStart)
                 .kind == AdmissionDecisionKind::kAdmit;
  }
  CHECK(batch == 8);
  CHECK(admission.OnArrival(Query("i", "t"), server.hooks(), kStart).kind ==
        AdmissionDecisionKind::kAdmit);
}

TEST_CASE("a full queue sheds from the team that fills it") {
  FairQueue queue(10);
  for (int i = 0; i < 10; ++i) {
    CHECK_FALSE(queue.Push({Query(Numbered("l", i), "large"), kStart}));
  }
  const auto own = queue.Push({Query("l10", "large"), kStart});
  REQUIRE(own);
  CHECK(own->query.request == RequestId("l10"));
  const auto other = queue.Push({Query("s0", "small"), kStart});
  REQUIRE(other);
  CHECK(other->query.request == RequestId("l9"));
  CHECK(queue.SizeOf(TeamId("small")) == 1);
}

TEST_CASE("a flood by one team leaves equal teams their share") {
  // Team 0 offers ten times its share; the others together half the capacity.
  constexpr int kTeams = 5;
  Server server;
  server.limit = 4;
  AdmissionOptions options;
  options.urgent_share = 1;
  Admission admission(options, 1);
  Rng rng(3);
  std::vector<double> demand(kTeams, 0);
  std::vector<double> served(kTeams, 0);
  const auto take = [&](const AdmissionDecision& verdict) {
    if (verdict.kind == AdmissionDecisionKind::kAdmit) {
      ++served[size_t(std::stoi(verdict.query.team.value()))];
    }
  };
  // Capacity: one request ends each 10 ms.
  for (int step = 0; step < 20'000; ++step) {
    const TimePoint now = kStart + step * milliseconds(10);
    if (server.in_flight > 0) {
      --server.in_flight;
    }
    for (const auto& verdict : admission.Advance(server.hooks(), now)) {
      take(verdict);
    }
    for (int team = 0; team < kTeams; ++team) {
      if (rng.Chance(team == 0 ? 1.0 : 0.19)) {
        ++demand[size_t(team)];
        take(admission.OnArrival(
            Query(Numbered(Numbered("", step) + "-", team),
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

TEST_CASE("few interactive requests are let through late, and no more") {
  Server server;
  server.limit = 1e6;
  server.first_part = milliseconds(900);
  Admission admission({}, 1);
  int admitted = 0;
  for (int i = 0; i < 1'000; ++i) {
    server.first_part = milliseconds(i % 2 == 0 ? 900 : 50);
    const RouteQuery query = Query(Numbered("q", i), "t");
    const auto verdict = admission.OnArrival(query, server.hooks(), kStart);
    if (verdict.kind == AdmissionDecisionKind::kAdmit) {
      admission.OnFirstByte(query, server.first_part);
      admitted += i % 2 == 0;
    }
  }
  CHECK(admitted > 0);
  CHECK(admitted <= 0.05 * (500 + admitted));
}

TEST_CASE("a caller that is gone leaves the queue") {
  Server server;
  server.limit = 0.5;
  Admission admission({}, 1);
  admission.OnArrival(Query("a", "t"), server.hooks(), kStart);
  REQUIRE(admission.waiting() == 1);
  admission.OnCallerGone(RequestId("a"));
  CHECK(admission.waiting() == 0);
}

}  // namespace qh
