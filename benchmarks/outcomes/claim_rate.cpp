#include "benchmarks/outcomes/claim_rate.h"

#include <algorithm>
#include <map>
#include <vector>

#include "fakes/fake_store.h"
#include "fakes/outcome_queue.h"
#include "qh_requests/claims/claim_log.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kRun = seconds(20);
constexpr Duration kTail = seconds(5);
constexpr TimePoint kStart{seconds(1)};
constexpr Duration kOutageStart = seconds(8);
constexpr Duration kOutageLength = seconds(5);
constexpr Duration kTick = milliseconds(10);
constexpr Duration kCallTime = milliseconds(50);
constexpr Duration kAskWait = seconds(2);
constexpr size_t kAnswerBytes = 200;

class Measurement {
 public:
  Measurement(ClaimWay way, double rate, bool outage, uint64_t seed)
      : way_(way),
        rate_(rate),
        rng_(seed),
        store_({}, seed, [this](TimePoint when, OutcomeQueue::Task task) {
          queue_.At(when, std::move(task));
        }) {
    for (uint32_t i = 0; i < kClaimPartitions; ++i) {
      logs_.push_back(ClaimLog::Create(i, {}, seed + i).value());
    }
    if (outage) {
      queue_.At(kStart + kOutageStart, [this](TimePoint now) {
        store_.FailUntil(now + kOutageLength, false);
      });
    }
  }

  ClaimRate Run() {
    queue_.At(kStart, [this](TimePoint now) { Arrive(now); });
    if (way_ == ClaimWay::kPartitionLogs) {
      queue_.At(kStart, [this](TimePoint now) { Tick(now); });
    }
    queue_.RunUntil(kStart + kRun + kTail);
    return Summary();
  }

 private:
  void Arrive(TimePoint now) {
    if (now >= kStart + kRun) {
      return;
    }
    Ask("key-" + std::to_string(asked_++), now);
    queue_.At(now + FromSeconds(rng_.Exponential(1 / rate_)),
              [this](TimePoint when) { Arrive(when); });
  }

  void Ask(const std::string& key, TimePoint now) {
    if (way_ == ClaimWay::kMintedKeys) {
      return Won(key, now, now);
    }
    if (way_ == ClaimWay::kPerRequest) {
      return Create(key, now, now);
    }
    asked_at_[key] = now;
    const uint32_t partition = ClaimPartition(key);
    Carry(partition, logs_[partition].Submit({.key = key,
                                              .fingerprint = key,
                                              .request_id = RequestId(key),
                                              .claimant = InstanceId("node"),
                                              .wait = kAskWait,
                                              .run_time = seconds(30)},
                                             now));
  }

  void Create(const std::string& key, TimePoint asked, TimePoint now) {
    store_.Call({.op = StoreOp::kPut,
                 .key = "claims/" + key,
                 .body = key,
                 .expected_version = kAbsentVersion},
                now, [this, key, asked](const StoreReply& reply, TimePoint at) {
                  if (reply.status == StoreStatus::kOk) {
                    return Won(key, asked, at);
                  }
                  if (at - asked >= kAskWait) {
                    ++refused_;
                    return;
                  }
                  queue_.At(at + milliseconds(100),
                            [this, key, asked](TimePoint when) {
                              Create(key, asked, when);
                            });
                });
  }

  void Won(const std::string& key, TimePoint asked, TimePoint now) {
    added_ms_.push_back(ToMilliseconds(now - asked));
    queue_.At(now + kCallTime, [this, key](TimePoint at) { End(key, at); });
  }

  void End(const std::string& key, TimePoint now) {
    if (way_ == ClaimWay::kPerRequest) {
      store_.Call({.op = StoreOp::kPut,
                   .key = "claims/" + key,
                   .body = std::string(kAnswerBytes, 'x')},
                  now, [](const StoreReply&, TimePoint) {});
    } else if (way_ == ClaimWay::kPartitionLogs) {
      const uint32_t partition = ClaimPartition(key);
      Carry(partition,
            logs_[partition].Report(
                {.key = key,
                 .fingerprint = key,
                 .request_id = RequestId(key),
                 .kind = OutcomeKind::kAnswered,
                 .answer = {200, "text/plain", std::string(kAnswerBytes, 'x')}},
                now));
    }
  }

  void Tick(TimePoint now) {
    for (uint32_t i = 0; i < kClaimPartitions; ++i) {
      Carry(i, logs_[i].Tick(now));
    }
    queue_.At(now + kTick, [this](TimePoint when) { Tick(when); });
  }

  void Carry(uint32_t partition, const ClaimLog::Actions& actions) {
    for (const ClaimAction& action : actions) {
      if (action.kind == ClaimActionKind::kStore) {
        const uint64_t token = action.token;
        store_.Call(
            action.request, queue_.now(),
            [this, partition, token](const StoreReply& reply, TimePoint at) {
              Carry(partition, logs_[partition].OnStoreReply(token, reply, at));
            });
        continue;
      }
      const std::string& key = action.answer.request_id.value();
      if (action.answer.decision == ClaimDecision::kWon) {
        Won(key, asked_at_.at(key), queue_.now());
      } else {
        ++refused_;
      }
    }
  }

  // Claims whose outcome a fresh node can't read from the store.
  double UnknownShare() {
    if (way_ == ClaimWay::kMintedKeys) {
      return added_ms_.empty() ? 0 : 1;
    }
    uint64_t unknown = 0;
    if (way_ == ClaimWay::kPerRequest) {
      for (const auto& [key, object] : store_.objects()) {
        unknown += object.version < 2 ? 1 : 0;
      }
    } else {
      ClaimTable table;
      for (const auto& [key, object] : store_.objects()) {
        // Keys put the ring before the segments; apply segments first.
        if (key.find("/segment/") != std::string::npos) {
          Apply(table, object);
        }
      }
      for (const auto& [key, object] : store_.objects()) {
        if (key.find("/log/") != std::string::npos) {
          entries_[key.substr(0, key.find("/log/"))]
                  [ClaimBatch::Decode(object.body).value().sequence] = &object;
        }
      }
      for (const auto& [partition, entries] : entries_) {
        for (const auto& [sequence, object] : entries) {
          Apply(table, *object);
        }
      }
      for (uint64_t i = 0; i < asked_; ++i) {
        const std::string key = "key-" + std::to_string(i);
        const auto verdict = table.Evaluate(
            {.key = key, .fingerprint = key, .request_id = RequestId("resend")},
            0, {});
        unknown += verdict && verdict->decision == ClaimDecision::kRefused;
      }
    }
    return added_ms_.empty() ? 0
                             : static_cast<double>(unknown) /
                                   static_cast<double>(added_ms_.size());
  }

  static void Apply(ClaimTable& table, const StoreObject& object) {
    const auto batch = ClaimBatch::Decode(object.body);
    for (const ClaimRecord& record : batch.value().records) {
      table.Apply(record);
    }
  }

  double Percentile(double share) {
    if (added_ms_.empty()) {
      return 0;
    }
    std::sort(added_ms_.begin(), added_ms_.end());
    const auto rank =
        static_cast<size_t>(share * static_cast<double>(added_ms_.size() - 1));
    return added_ms_[rank];
  }

  ClaimRate Summary() {
    const auto claims = static_cast<double>(added_ms_.size());
    const auto writes = static_cast<double>(store_.writes());
    return {.writes_per_second = writes / ToSeconds(kRun),
            .writes_per_claim = claims > 0 ? writes / claims : 0,
            .added_ms_p50 = Percentile(0.5),
            .added_ms_p99 = Percentile(0.99),
            .refused_share = static_cast<double>(refused_) /
                             static_cast<double>(std::max<uint64_t>(asked_, 1)),
            .unknown_after_node_loss = UnknownShare()};
  }

  const ClaimWay way_;
  const double rate_;
  Rng rng_;
  OutcomeQueue queue_;
  FakeStore store_;
  std::vector<ClaimLog> logs_;
  std::map<std::string, TimePoint> asked_at_;
  std::vector<double> added_ms_;
  std::map<std::string, std::map<uint64_t, const StoreObject*>> entries_;
  uint64_t asked_ = 0;
  uint64_t refused_ = 0;
};

}  // namespace

ClaimRate MeasureClaims(ClaimWay way, double rate, bool outage, uint64_t seed) {
  return Measurement(way, rate, outage, seed).Run();
}

}  // namespace qh
