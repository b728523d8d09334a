#include "qh_gateway/control/verdict_archive.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace qh {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

// Members of a stored verdict.
constexpr const char* kFeatures = "features";
constexpr const char* kCrashed = "crashed_ms";
constexpr const char* kDecided = "decided_ms";
constexpr const char* kRefused = "refused_ms";
constexpr const char* kTrials = "trials";
constexpr const char* kCrashes = "crashes";

constexpr int kConflict = 409;
constexpr int kNotFound = 404;
constexpr int kFirstNonSuccess = 300;

// Features are stored as text: the store's numbers may not hold 64 bits.
std::vector<Feature> ParseFeatures(const Json& json) {
  std::vector<Feature> features;
  for (const Json& entry : json) {
    features.push_back(std::stoull(entry.get<std::string>()));
  }
  std::sort(features.begin(), features.end());
  return features;
}

}  // namespace

VerdictArchive::VerdictArchive(GatewayState& state, std::string kind)
    : state_(state),
      kind_(std::move(kind)),
      connection_(state.io,
                  state.settings.store_address,
                  state.codec.store,
                  state.store_epoch,
                  state.byte_budget) {}

void VerdictArchive::OnList(const std::vector<StoredObject>& objects) {
  stored_.OnListBegins();
  for (const StoredObject& object : objects) {
    TakeOver(object);
  }
}

void VerdictArchive::OnChange(const StoredObject& object) {
  if (object.removed) {
    if (const auto ended = stored_.OnRemoved(object.name)) {
      state_.crash_tracker.OnVerdictEnded(ended->features, MonotonicNow());
    }
    return;
  }
  TakeOver(object);
}

void VerdictArchive::TakeOver(const StoredObject& object) {
  if (!StoredVerdicts::IsName(object.name)) {
    return;
  }
  const auto verdict = Decode(object.content);
  if (!verdict) {
    LogLine("stored_verdict_ignored")
        .With("name", object.name)
        .With(verdict.error())
        .Warning();
    // The leader removes it or writes it anew.
    stored_.OnStored(object.name, {});
    return;
  }
  stored_.OnStored(object.name, verdict.value());
  const TimePoint now = MonotonicNow();
  if (now - verdict.value().refused > CrashVerdicts::kLifetime) {
    return;
  }
  state_.crash_tracker.OnPeer({.made = now, .verdicts = {verdict.value()}},
                              false, now);
}

void VerdictArchive::OnTick(TimePoint now, bool follows_store) {
  if (stopped_ || write_open_ || !follows_store || now < no_write_before_) {
    return;
  }
  const auto write =
      stored_.NextWrite(state_.crash_tracker.verdicts(), state_.is_leader, now);
  if (write) {
    Send(*write);
  }
}

void VerdictArchive::Stop() {
  stopped_ = true;
  connection_.Reset();
}

void VerdictArchive::Send(const VerdictWrite& write) {
  write_open_ = true;
  const auto on_reply = [this, write](const CallReply& reply) {
    OnWritten(write, reply);
  };
  const StoreProtocol& store = state_.codec.store;
  switch (write.kind) {
    case VerdictWrite::Kind::kCreate:
      connection_.Send(store.create(kind_, {.name = write.name,
                                            .content = Encode(write.verdict)}),
                       kWriteTimeout, on_reply);
      return;
    case VerdictWrite::Kind::kReplace:
      connection_.Send(store.replace(kind_, {.name = write.name,
                                             .content = Encode(write.verdict)}),
                       kWriteTimeout, on_reply);
      return;
    case VerdictWrite::Kind::kRemove:
      connection_.Send(store.remove(kind_, write.name), kWriteTimeout,
                       on_reply);
      return;
  }
}

void VerdictArchive::OnWritten(const VerdictWrite& write,
                               const CallReply& reply) {
  write_open_ = false;
  const bool answered = reply.outcome == HttpCallOutcome::kAnswered;
  const bool is_removal = write.kind == VerdictWrite::Kind::kRemove;
  // Another node may have made the same write first.
  const bool is_done_already =
      answered && reply.status == (is_removal ? kNotFound : kConflict);
  const bool succeeded =
      answered && (reply.status < kFirstNonSuccess || is_done_already);
  state_.log.Write(LogLine(ToName(GatewayEvent::kVerdictStored))
                       .With("write", ToName(write.kind))
                       .With("name", write.name)
                       .With("features", ToText(write.verdict.features))
                       .With("outcome", succeeded ? "done" : "failed")
                       .With("status", reply.status),
                   GatewayEvent::kVerdictStored);
  if (!succeeded) {
    no_write_before_ = MonotonicNow() + kRetryDelay;
    return;
  }
  // The watch tells of the write later.
  if (is_removal) {
    stored_.OnRemoved(write.name);
  } else {
    stored_.OnStored(write.name, write.verdict);
  }
}

std::string VerdictArchive::Encode(const CrashVerdict& verdict) const {
  const TimePoint now = MonotonicNow();
  const auto to_wall_ms = [&](TimePoint at) {
    return std::chrono::duration_cast<milliseconds>(state_.wall_clock.Now(now) -
                                                    (now - at))
        .count();
  };
  Json features = Json::array();
  for (const Feature feature : verdict.features) {
    features.push_back(std::to_string(feature));
  }
  return Json{{kFeatures, features},
              {kCrashed, to_wall_ms(verdict.crashed)},
              {kDecided, to_wall_ms(verdict.decided)},
              {kRefused, to_wall_ms(verdict.refused)},
              {kTrials, verdict.trials},
              {kCrashes, verdict.crashes}}
      .dump();
}

Result<CrashVerdict> VerdictArchive::Decode(const std::string& content) const {
  const TimePoint now = MonotonicNow();
  // A time after now comes from clocks that differ.
  const auto from_wall_ms = [&](const Json& json) {
    const Duration ago =
        state_.wall_clock.Now(now) - milliseconds(json.get<int64_t>());
    return now - std::max(ago, Duration::zero());
  };
  try {
    const Json json = Json::parse(content);
    CrashVerdict verdict{.features = ParseFeatures(json.at(kFeatures)),
                         .crashed = from_wall_ms(json.at(kCrashed)),
                         .decided = from_wall_ms(json.at(kDecided)),
                         .refused = from_wall_ms(json.at(kRefused)),
                         .trials = json.at(kTrials).get<uint32_t>(),
                         .crashes = json.at(kCrashes).get<size_t>()};
    if (verdict.features.empty()) {
      return Error(ErrorKind::kPeerMalformed, "a verdict without features");
    }
    return verdict;
  } catch (const std::exception& exception) {
    return Error(ErrorKind::kPeerMalformed, exception.what());
  }
}

}  // namespace qh
