#include "qh_gateway/control/store_epoch_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "qh_core/text/bounded_json.h"

namespace qh {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr const char* kKind = "store-epochs";
// Member of the object: wall-clock time since 1970.
constexpr const char* kNoticed = "noticed_ms";

// Greatest time that a Duration can hold.
constexpr int64_t kMaxNoticedMs =
    std::chrono::duration_cast<milliseconds>(Duration::max()).count();

constexpr int kOk = 200;
constexpr int kFirstNonSuccess = 300;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

// Returns the time that a record holds. Fails with kPeerMalformed.
Result<Duration> ReadNoticed(const std::string& content) {
  const Json json = ParseBoundedJson(content);
  if (!json.is_object() || !json.contains(kNoticed) ||
      !json[kNoticed].is_number_integer()) {
    return Error(ErrorKind::kPeerMalformed,
                 "the record of an epoch has no time");
  }
  const auto noticed_ms = json[kNoticed].get<int64_t>();
  if (noticed_ms < 0 || noticed_ms > kMaxNoticedMs) {
    return Error(ErrorKind::kPeerMalformed,
                 "the record of an epoch has an impossible time");
  }
  return Duration(milliseconds(noticed_ms));
}

}  // namespace

StoreEpochRecord::StoreEpochRecord(GatewayState& state, StoreConnection& store)
    : state_(state), store_(store) {}

void StoreEpochRecord::OnEpoch(uint64_t epoch, bool restored) {
  epoch_ = epoch;
  noticed_ = MonotonicNow();
  starts_empty_ = state_.settings.first_start && !restored;
  lost_before_.reset();
  call_open_ = false;
}

void StoreEpochRecord::Resolve(TimePoint now) {
  if (is_resolved() || call_open_ || now < no_call_before_) {
    return;
  }
  Read();
}

std::string StoreEpochRecord::name() const {
  return "epoch-" + std::to_string(*epoch_);
}

// The nodes' common clock is asked as late as possible: a process that has just
// started knows its own clock only.
Duration StoreEpochRecord::OwnBound() const {
  const TimePoint now = MonotonicNow();
  return starts_empty_ ? Duration(0)
                       : state_.wall_clock.Now(now) - (now - noticed_);
}

void StoreEpochRecord::Read() {
  call_open_ = true;
  store_.Send(state_.codec.store.get(kKind, name()), kCallTimeout,
              [this](const CallReply& reply) { OnRead(reply); });
}

void StoreEpochRecord::OnRead(const CallReply& reply) {
  call_open_ = false;
  const bool answered = reply.outcome == HttpCallOutcome::kAnswered;
  if (answered && reply.status == kNotFound) {
    Write();
    return;
  }
  const auto object =
      answered && reply.status == kOk
          ? state_.codec.store.read_object(reply.body)
          : Result<StoredObject>(Error(ErrorKind::kStoreUnavailable,
                                       "the store did not return the record"));
  if (!object) {
    RetryAfter(object.error());
    return;
  }
  lost_before_ = OwnBound();
  const auto noticed = ReadNoticed(object.value().content);
  if (noticed) {
    // Both times are after the restore.
    lost_before_ = std::min(noticed.value(), OwnBound());
  } else {
    LogFailure(noticed.error());
  }
}

void StoreEpochRecord::Write() {
  const Duration noticed = OwnBound();
  const Json content{
      {kNoticed, std::chrono::duration_cast<milliseconds>(noticed).count()}};
  call_open_ = true;
  store_.Send(state_.codec.store.create(
                  kKind, {.name = name(), .content = content.dump()}),
              kCallTimeout,
              [this](const CallReply& reply) { OnWritten(reply); });
}

void StoreEpochRecord::OnWritten(const CallReply& reply) {
  call_open_ = false;
  const bool answered = reply.outcome == HttpCallOutcome::kAnswered;
  if (answered && reply.status < kFirstNonSuccess) {
    lost_before_ = OwnBound();
    return;
  }
  if (answered && reply.status == kConflict) {
    // An earlier leader was faster.
    Read();
    return;
  }
  RetryAfter(Error(ErrorKind::kStoreUnavailable,
                   "the store did not write the record"));
}

void StoreEpochRecord::LogFailure(const Error& error) const {
  state_.log.Write(LogLine(ToName(GatewayEvent::kLeaderCallFailed))
                       .With("call", "epoch")
                       .With("name", name())
                       .With(error),
                   GatewayEvent::kLeaderCallFailed);
}

void StoreEpochRecord::RetryAfter(const Error& error) {
  LogFailure(error);
  no_call_before_ = MonotonicNow() + kRetryDelay;
}

}  // namespace qh
