#include "qh_node/control/demand_driver.h"

#include <cmath>
#include <vector>

#include "qh_requests/wire/field_map.h"

namespace qh {
namespace {

// Must be well below TeamLimiter::kDigestDelay.
constexpr Duration kSendInterval = std::chrono::milliseconds(500);
constexpr Duration kCallTimeout = std::chrono::milliseconds(400);
constexpr size_t kMaxConcurrentCalls = 32;
constexpr const char* kSequenceField = ".sequence";
constexpr const char* kNodeField = ".node";
constexpr const char* kTeamsField = ".teams";

}  // namespace

std::string EncodeDemand(const DemandDigest& digest) {
  FieldMap fields;
  fields.Set(kNodeField, digest.node.value())
      .Set(kSequenceField, digest.sequence);
  std::vector<std::string> teams;
  for (const auto& [team, demand] : digest.tokens_per_second) {
    teams.push_back(team.value());
    fields.Set(team.value(), static_cast<uint64_t>(std::ceil(demand)));
  }
  fields.Set(kTeamsField, std::move(teams));
  return fields.Encode();
}

Result<DemandDigest> DecodeDemand(const std::string& bytes) {
  BOOST_OUTCOME_TRY(fields, FieldMap::Decode(bytes));
  BOOST_OUTCOME_TRY(node, fields.RequiredText(kNodeField));
  DemandDigest digest;
  digest.node = InstanceId(node);
  digest.sequence = fields.Number(kSequenceField);
  for (const std::string& team : fields.List(kTeamsField)) {
    digest.tokens_per_second[TeamId(team)] =
        static_cast<double>(fields.Number(team));
  }
  return digest;
}

DemandDriver::DemandDriver(const InstanceId& self,
                           PeerClient& client,
                           MembersHook members,
                           Dispatcher& dispatcher)
    : self_(self),
      client_(client),
      members_(std::move(members)),
      dispatcher_(dispatcher),
      calls_(kMaxConcurrentCalls) {}

DemandDriver::~DemandDriver() {
  Stop();
}

void DemandDriver::Start() {
  ticker_ = std::make_unique<Ticker>(kSendInterval, [this] { Tick(); });
}

void DemandDriver::Stop() {
  ticker_.reset();
  calls_.Shutdown();
}

void DemandDriver::Tick() {
  const std::string body = EncodeDemand(dispatcher_.MakeDigest());
  for (const Member& member : members_()) {
    if (member.id == self_ || member.state == MemberState::kDead) {
      continue;
    }
    calls_.Run([this, peer = member.peers, body] {
      // No retry: the next digest replaces a lost one.
      [[maybe_unused]] const auto reply =
          client_.Call(peer, {PeerCallKind::kDemand, body}, kCallTimeout);
    });
  }
}

Result<std::string> DemandDriver::OnCall(const std::string& body) {
  BOOST_OUTCOME_TRY(digest, DecodeDemand(body));
  dispatcher_.OnDigest(digest);
  return std::string();
}

}  // namespace qh
