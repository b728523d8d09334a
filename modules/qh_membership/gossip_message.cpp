#include "qh_membership/gossip_message.h"

#include <algorithm>
#include <msgpack.hpp>
#include <optional>

namespace qh {
namespace {

// The structs below are the messages as msgpack arrays. An array of a newer
// sender may have more elements than listed here, one of an older sender fewer;
// both can be decoded. New fields may only be appended.
struct WireStatus {
  std::string id;
  uint64_t incarnation = 0;
  uint64_t status_version = 0;
  uint64_t config_version = 0;
  uint32_t open_requests = 0;
  bool ready = false;
  MSGPACK_DEFINE_ARRAY(id,
                       incarnation,
                       status_version,
                       config_version,
                       open_requests,
                       ready)
};

struct WireMember {
  WireStatus status;
  uint32_t state = 0;
  std::string failure_domain;
  uint32_t cell = 0;
  std::string host;
  uint16_t callers_port = 0;
  uint16_t peers_port = 0;
  uint16_t admin_port = 0;
  // Empty when equal to `host`, which saves bytes.
  std::string peers_host;
  std::string admin_host;
  std::string digest;
  MSGPACK_DEFINE_ARRAY(status,
                       state,
                       failure_domain,
                       cell,
                       host,
                       callers_port,
                       peers_port,
                       admin_port,
                       peers_host,
                       admin_host,
                       digest)
};

struct WireServer {
  std::string id;
  uint64_t version = 0;
  bool leaving = false;
  uint32_t age_s = 0;
  MSGPACK_DEFINE_ARRAY(id, version, leaving, age_s)
};

struct WireMessage {
  uint32_t kind = 0;
  WireStatus sender;
  uint64_t sequence = 0;
  std::string target;
  std::vector<WireMember> members;
  std::vector<WireStatus> statuses;
  std::vector<WireServer> servers;
  uint64_t notices_hash = 0;
  MSGPACK_DEFINE_ARRAY(kind,
                       sender,
                       sequence,
                       target,
                       members,
                       statuses,
                       servers,
                       notices_hash)
};

WireStatus ToWire(const MemberStatus& status) {
  return {status.id.value(),     status.incarnation,   status.status_version,
          status.config_version, status.open_requests, status.ready};
}

MemberStatus FromWire(const WireStatus& wire) {
  return {InstanceId(wire.id), wire.incarnation,   wire.status_version,
          wire.config_version, wire.open_requests, wire.ready};
}

// Returns an empty string when `host` equals `same`.
std::string HostUnless(const std::string& host, const std::string& same) {
  return host == same ? std::string() : host;
}

WireMember ToWire(const Member& member) {
  const std::string& host = member.callers.host;
  WireMember wire;
  wire.status = {member.id.value(),     member.incarnation,
                 member.status_version, member.config_version,
                 member.open_requests,  member.ready};
  wire.state = static_cast<uint32_t>(member.state);
  wire.failure_domain = member.failure_domain.value();
  wire.cell = member.cell;
  wire.host = host;
  wire.callers_port = member.callers.port;
  wire.peers_port = member.peers.port;
  wire.admin_port = member.admin.port;
  wire.peers_host = HostUnless(member.peers.host, host);
  wire.admin_host = HostUnless(member.admin.host, host);
  wire.digest = member.digest.substr(0, kMaxDigestBytes);
  return wire;
}

// Returns nothing when the state is unknown or the id is empty.
std::optional<Member> FromWire(const WireMember& wire) {
  if (wire.state > static_cast<uint32_t>(MemberState::kDead) ||
      wire.status.id.empty()) {
    return std::nullopt;
  }
  const auto host_or = [&](const std::string& host) {
    return host.empty() ? wire.host : host;
  };
  Member member;
  member.id = InstanceId(wire.status.id);
  member.failure_domain = FailureDomainId(wire.failure_domain);
  member.callers = {wire.host, wire.callers_port};
  member.peers = {host_or(wire.peers_host), wire.peers_port};
  member.admin = {host_or(wire.admin_host), wire.admin_port};
  member.state = static_cast<MemberState>(wire.state);
  member.incarnation = wire.status.incarnation;
  member.status_version = wire.status.status_version;
  member.cell = wire.cell;
  member.ready = wire.status.ready;
  member.config_version = wire.status.config_version;
  member.open_requests = wire.status.open_requests;
  member.digest = wire.digest.substr(0, kMaxDigestBytes);
  return member;
}

Error Malformed(const std::string& reason) {
  return Error(ErrorKind::kPeerMalformed, "membership: " + reason);
}

}  // namespace

std::string GossipMessage::Encode() const {
  WireMessage wire;
  wire.kind = static_cast<uint32_t>(kind);
  wire.sender = ToWire(sender);
  wire.sequence = sequence;
  wire.target = target.value();
  wire.notices_hash = notices_hash;
  for (const Member& member : members) {
    wire.members.push_back(ToWire(member));
  }
  for (const MemberStatus& status : statuses) {
    wire.statuses.push_back(ToWire(status));
  }
  for (const ServerNotice& server : servers) {
    wire.servers.push_back(
        {server.id.value(), server.version, server.leaving, server.age_s});
  }
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, wire);
  return {buffer.data(), buffer.size()};
}

Result<GossipMessage> GossipMessage::Decode(std::string_view bytes) {
  if (bytes.size() > kMaxGossipMessageBytes) {
    return Malformed("message of " + std::to_string(bytes.size()) +
                     " bytes exceeds the limit of " +
                     std::to_string(kMaxGossipMessageBytes));
  }
  WireMessage wire;
  try {
    msgpack::unpack(bytes.data(), bytes.size()).get().convert(wire);
  } catch (const std::exception& error) {
    return Malformed(error.what());
  }
  if (wire.kind > static_cast<uint32_t>(GossipMessageKind::kSync)) {
    return Malformed("unknown message kind " + std::to_string(wire.kind));
  }
  if (wire.sender.id.empty()) {
    return Malformed("the sender has no id");
  }
  GossipMessage message;
  message.kind = static_cast<GossipMessageKind>(wire.kind);
  message.sender = FromWire(wire.sender);
  message.sequence = wire.sequence;
  message.target = InstanceId(wire.target);
  message.notices_hash = wire.notices_hash;
  for (const WireMember& member : wire.members) {
    if (auto known = FromWire(member)) {
      message.members.push_back(std::move(*known));
    }
  }
  for (const WireStatus& status : wire.statuses) {
    message.statuses.push_back(FromWire(status));
  }
  for (const WireServer& server : wire.servers) {
    message.servers.push_back(
        {ServerId(server.id), server.version, server.leaving, server.age_s});
  }
  return message;
}

}  // namespace qh
