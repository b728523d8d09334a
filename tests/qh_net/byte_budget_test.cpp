// What all messages in progress may hold together.

#include "qh_net/byte_budget.h"

#include <catch2/catch.hpp>

namespace qh {
namespace {

// Divisible by 100, so that shares of it are exact.
constexpr uint64_t kLimit = 100 * ByteBudget::kSmallHolding;

}  // namespace

TEST_CASE("large traffic is refused first, then small, control calls last") {
  const auto budget = std::make_shared<ByteBudget>(kLimit);
  HeldBytes large(budget, HoldPurpose::kTraffic);
  HeldBytes small(budget, HoldPurpose::kTraffic);
  HeldBytes control(budget, HoldPurpose::kControl);
  HeldBytes other(budget, HoldPurpose::kTraffic);
  REQUIRE(large.TrySet(kLimit / 2));
  CHECK_FALSE(large.TrySet(kLimit / 2 + 1));
  CHECK_FALSE(budget->is_tight());
  REQUIRE(small.TrySet(ByteBudget::kSmallHolding));
  CHECK(budget->is_tight());
  other.Set(24 * ByteBudget::kSmallHolding);
  HeldBytes late(budget, HoldPurpose::kTraffic);
  CHECK_FALSE(late.TrySet(1));
  CHECK(control.TrySet(kLimit / 4));
  CHECK_FALSE(control.TrySet(kLimit / 4 + 1));
  CHECK(budget->held() == kLimit);
  CHECK(budget->refusals() == 3);
}

TEST_CASE("an owner that was refused more keeps its count") {
  const auto budget = std::make_shared<ByteBudget>(kLimit);
  {
    HeldBytes held(budget, HoldPurpose::kTraffic);
    REQUIRE(held.TrySet(10));
    CHECK_FALSE(held.TrySet(kLimit));
    CHECK(budget->held() == 10);
    // Less is always allowed.
    held.Set(kLimit);
    CHECK(held.TrySet(kLimit - 1));
  }
  CHECK(budget->held() == 0);
}

TEST_CASE("without a budget nothing is refused") {
  HeldBytes held(nullptr, HoldPurpose::kTraffic);
  CHECK(held.TrySet(~uint64_t{0}));
}

}  // namespace qh
