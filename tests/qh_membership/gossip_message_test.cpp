// Encoding of gossip messages.

#include "qh_membership/gossip_message.h"

#include <catch2/catch.hpp>
#include <msgpack.hpp>

namespace qh {
namespace {

GossipMessage Sample() {
  Member member;
  member.id = InstanceId("n1");
  member.failure_domain = FailureDomainId("a");
  member.callers = {"127.0.0.1", 1};
  member.peers = {"127.0.0.2", 2};
  member.admin = {"127.0.0.1", 3};
  member.state = MemberState::kLeaving;
  member.incarnation = 4;
  member.status_version = 5;
  member.digest = "demand";
  GossipMessage message;
  message.kind = GossipMessageKind::kPush;
  message.sender = {InstanceId("n0"), 1, 2, 3, 4, true};
  message.members = {member};
  message.statuses = {{InstanceId("n2"), 6, 7, 8, 9, false}};
  message.servers = {{ServerId("s1"), 2, true}};
  return message;
}

}  // namespace

TEST_CASE("a gossip message is decoded as it was encoded") {
  const GossipMessage message = Sample();
  const auto read = GossipMessage::Decode(message.Encode());
  REQUIRE(read);
  CHECK(read.value().Encode() == message.Encode());
  CHECK(read.value().members.at(0).peers == message.members[0].peers);
  CHECK(read.value().members.at(0).admin == message.members[0].admin);
  CHECK(read.value().members.at(0).state == MemberState::kLeaving);
  CHECK(read.value().members.at(0).digest == "demand");
  CHECK(read.value().sender.ready);
  CHECK(read.value().sender.config_version == 3);
}

TEST_CASE(
    "a truncated message is refused, an altered one is refused or decoded") {
  const std::string bytes = Sample().Encode();
  for (size_t length = 0; length < bytes.size(); ++length) {
    const auto read = GossipMessage::Decode(bytes.substr(0, length));
    REQUIRE_FALSE(read);
    CHECK(read.error().kind() == ErrorKind::kPeerMalformed);
  }
  for (size_t i = 0; i < bytes.size(); ++i) {
    for (const int flip : {0x01, 0x40, 0x80, 0xff}) {
      std::string altered = bytes;
      altered[i] = static_cast<char>(altered[i] ^ flip);
      const auto read = GossipMessage::Decode(altered);
      if (!read) {
        CHECK(read.error().kind() == ErrorKind::kPeerMalformed);
      }
    }
  }
}

TEST_CASE("a message of a newer node with more fields is decoded") {
  const std::string bytes = Sample().Encode();
  const auto object = msgpack::unpack(bytes.data(), bytes.size());
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  const auto& fields = object.get().via.array;
  packer.pack_array(fields.size + 1);
  for (uint32_t i = 0; i < fields.size; ++i) {
    packer.pack(fields.ptr[i]);
  }
  packer.pack("of a later version");
  const auto read = GossipMessage::Decode({buffer.data(), buffer.size()});
  REQUIRE(read);
  CHECK(read.value().servers.size() == 1);
}

}  // namespace qh
