// Which nodes a caller is offered, and in which order.

#include "qh_membership/entry_locator.h"

#include <catch2/catch.hpp>
#include <set>

namespace qh {
namespace {

std::vector<Member> Nodes(size_t count) {
  std::vector<Member> members;
  for (size_t i = 0; i < count; ++i) {
    Member member;
    member.id = InstanceId("n" + std::to_string(i));
    member.failure_domain = FailureDomainId(i % 2 == 0 ? "a" : "b");
    member.open_requests = 100;
    member.ready = true;
    members.push_back(member);
  }
  return members;
}

const FailureDomainId kNear("a");

}  // namespace

TEST_CASE("only live and ready nodes are offered") {
  std::vector<Member> members = Nodes(5);
  members[4].ready = false;
  members[0].state = MemberState::kLeaving;
  members[1].state = MemberState::kDead;
  members[2].state = MemberState::kSuspect;
  const auto entries = LocateEntries({1, kNear}, members);
  REQUIRE(entries.size() == 1);
  CHECK(entries[0].id == members[3].id);
  CHECK(LocateEntries({1, kNear}, {}).empty());
}

TEST_CASE(
    "the caller's failure domain comes first, keys are spread over its nodes") {
  std::set<InstanceId> first;
  for (uint64_t key = 0; key < 100; ++key) {
    const auto entries = LocateEntries({key, kNear}, Nodes(8));
    CHECK(entries[0].failure_domain == kNear);
    CHECK(entries[3].failure_domain == kNear);
    first.insert(entries[0].id);
  }
  CHECK(first.size() == 4);
}

TEST_CASE("an overloaded node is offered last") {
  std::vector<Member> members = Nodes(8);
  const auto usual = LocateEntries({7, kNear}, members);
  for (Member& member : members) {
    if (member.id == usual[0].id) {
      member.open_requests = 400;
    }
  }
  const auto entries = LocateEntries({7, kNear}, members);
  CHECK(entries[0].id == usual[1].id);
  CHECK(entries.back().id == usual[0].id);
}

}  // namespace qh
