// The platform's stand-in: conditions, budget, faults, lagging list, starts.

#include "standins/platform/platform_standin.h"

#include <httplib.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "qh_http_platform/http_platform.h"
#include "standins/platform/call_budget.h"
#include "standins/platform/cloud_table.h"
#include "standins/platform/weight_rate.h"

namespace qh::standins {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kHost = "127.0.0.1";
constexpr const char* kJsonType = "application/json";

StoreRequest Put(const std::string& body, std::optional<uint64_t> expected) {
  return {.op = StoreOp::kPut,
          .key = "k",
          .body = body,
          .expected_version = expected};
}

}  // namespace

TEST_CASE("the store holds conditions and loses answers after the write") {
  const auto standin = PlatformStandin::Start({.host = kHost}).value();
  const auto platform = HttpPlatform::Create(kHost, standin->port());
  httplib::Client admin(kHost, standin->port());

  CHECK(platform->Call(Put("a", kAbsentVersion)).status == StoreStatus::kOk);
  CHECK(platform->Call(Put("b", kAbsentVersion)).status ==
        StoreStatus::kConflict);
  CHECK(platform->Call(Put("b", 1)).object.version == 2);

  REQUIRE(
      admin.Put("/admin/faults", R"({"lose_answers": 1})", kJsonType)->status ==
      200);
  CHECK(platform->Call(Put("c", 2)).status == StoreStatus::kAmbiguous);
  const StoreReply read = platform->Call({.op = StoreOp::kGet, .key = "k"});
  CHECK(read.object.body == "c");
  CHECK(read.object.version == 3);

  admin.Put("/admin/faults", R"({"outage": true})", kJsonType);
  CHECK(platform->Call(Put("d", {})).status == StoreStatus::kUnavailable);
  admin.Put("/admin/faults", R"({"outage": false})", kJsonType);
  CHECK(platform->Call({.op = StoreOp::kGet, .key = "k"}).object.body == "c");
  CHECK(admin.Put("/admin/faults", R"({"outage": 3})", kJsonType)->status ==
        400);
}

TEST_CASE("calls beyond the budget are refused and change nothing") {
  const auto standin =
      PlatformStandin::Start({.host = kHost, .writes_per_second = 1}).value();
  const auto platform = HttpPlatform::Create(kHost, standin->port());
  StoreStatus status = StoreStatus::kOk;
  int written = 0;
  while (status == StoreStatus::kOk) {
    status = platform->Call(Put("x", {})).status;
    written += status == StoreStatus::kOk ? 1 : 0;
  }
  CHECK(status == StoreStatus::kThrottled);
  CHECK(platform->Call({.op = StoreOp::kGet, .key = "k"}).object.version ==
        static_cast<uint64_t>(written));
}

TEST_CASE("the budget refills with time") {
  CallBudget budget(2);
  TimePoint now;
  CHECK(budget.Take(now));
  CHECK(budget.Take(now));
  CHECK(!budget.Take(now));
  now += milliseconds(500);
  CHECK(budget.Take(now));
  CHECK(!budget.Take(now));
}

TEST_CASE("the instance list lags and counts notices down") {
  CloudTable cloud(seconds(2));
  TimePoint now;
  cloud.Change("e1", {{"role", "engine"}}, now);
  CHECK(cloud.List(now).empty());
  now += seconds(2);
  CHECK(cloud.List(now).size() == 1);
  cloud.Change("e1", {{"state", "leaving"}, {"notice_s", 10}}, now);
  CHECK(!cloud.List(now)[0].contains("state"));
  now += seconds(3);
  const json row = cloud.List(now)[0];
  CHECK(row["state"] == "leaving");
  CHECK(row["role"] == "engine");
  CHECK(row["notice_s"] == 7.0);
  cloud.Remove("e1", now);
  CHECK(cloud.List(now + seconds(2)).empty());
}

TEST_CASE("starts are idempotent and can be refused") {
  const auto standin = PlatformStandin::Start({.host = kHost}).value();
  httplib::Client client(kHost, standin->port());
  client.Put("/admin/faults", R"({"refuse_starts": 1})", kJsonType);
  const httplib::Headers key = {{"Idempotency-Key", "s1"}};
  const std::string body = R"({"role": "engine"})";
  CHECK(client.Post("/v1/instances", key, body, kJsonType)->status == 409);
  const auto first = client.Post("/v1/instances", key, body, kJsonType);
  CHECK(first->status == 201);
  const auto again = client.Post("/v1/instances", key, body, kJsonType);
  CHECK(again->status == 200);
  CHECK(again->body == first->body);
  client.Put("/admin/prices", R"([{"class": "c"}])", kJsonType);
  CHECK(json::parse(client.Get("/v1/prices")->body).size() == 1);
  CHECK(client.Get("/v1/weights/m?bytes=100000")->body.size() == 100'000);
}

TEST_CASE("downloads of weights share the rate") {
  WeightRate rate(100);
  const TimePoint now;
  CHECK(rate.Book(50, now) == milliseconds(500));
  CHECK(rate.Book(50, now) == milliseconds(1'000));
  CHECK(rate.Book(100, now + seconds(10)) == seconds(1));
}

}  // namespace qh::standins
