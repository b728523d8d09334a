// Baselines: what a usual proxy does. No priorities, no queue of its own; a
// server's queue is bounded, a server that refuses or fails is left for another
// one, up to kAttempts; callers' waits end by timeout. Each node enforces an
// equal part of a team's limit.

#include <algorithm>
#include <functional>

#include "benchmarks/routing/policy.h"
#include "qh_core/hash/hash.h"
#include "qh_core/random/rng.h"

namespace qh::bench {
namespace {

constexpr uint32_t kAttempts = 4;
// Most work that a home server may have against the mean.
constexpr double kLoadBound = 1.25;
constexpr double kBucketSeconds = 1;

class BaselinePolicy : public Policy {
 public:
  // Picks out of the server numbers that may be chosen.
  using Pick = std::function<
      uint32_t(BaselinePolicy&, const Job&, const std::vector<uint32_t>&)>;

  BaselinePolicy(const Deployment& deployment,
                 const Configuration& config,
                 uint64_t seed,
                 Pick pick)
      : rng_(seed), pick_(std::move(pick)), servers_(deployment.servers) {
    next_ = uint32_t(rng_.Below(deployment.servers));
    for (const Team& team : config.teams) {
      const double rate =
          double(team.tokens_per_minute) / 60 / deployment.nodes;
      buckets_.push_back({rate, rate * kBucketSeconds, TimePoint()});
    }
  }

  PolicyActions OnJob(const Job& job, TimePoint now) override {
    const Turn& turn = *job.turn;
    if (job.attempts == 0 &&
        !Take(buckets_[turn.team], turn.prompt_tokens + turn.output_tokens,
              now)) {
      return {{.kind = PolicyActionKind::kRefuse,
               .turn = turn.id,
               .error = ErrorKind::kTeamLimit}};
    }
    return Choose(job);
  }

  void OnDispatched(const Job&, uint32_t server, TimePoint) override {
    ++servers_[server].own;
    ++servers_[server].since_report;
  }

  void OnFirstToken(const Job&, uint32_t, TimePoint) override {}

  PolicyActions OnEnded(const Job& job,
                        uint32_t server,
                        DispatchOutcome end,
                        TimePoint) override {
    --servers_[server].own;
    if (end == DispatchOutcome::kCompleted ||
        end == DispatchOutcome::kCancelled) {
      return {};
    }
    if (job.attempts >= kAttempts) {
      return {{.kind = PolicyActionKind::kRefuse, .turn = job.turn->id}};
    }
    return Choose(job);
  }

  void OnCallerGone(const Job&) override {}

  void OnLoadReport(uint32_t server,
                    const LoadReport& report,
                    TimePoint) override {
    servers_[server].reported = report.running + report.queued;
    servers_[server].since_report = 0;
  }

  void SetLeaving(const std::vector<bool>& leaving) override {
    leaving_ = leaving;
  }

  uint32_t RoundRobin(const std::vector<uint32_t>& servers) {
    return servers[next_++ % servers.size()];
  }

  // Last report and what this node sent since.
  double Load(uint32_t server) const {
    const Server& entry = servers_[server];
    return std::max(double(entry.own),
                    double(entry.reported) + entry.since_report);
  }

  // Least by `load`; equal ones in random order.
  uint32_t Least(const std::vector<uint32_t>& servers,
                 const std::function<double(uint32_t)>& load) {
    const size_t offset = rng_.Below(servers.size());
    uint32_t best = servers[offset];
    for (size_t i = 0; i < servers.size(); ++i) {
      const uint32_t server = servers[(i + offset) % servers.size()];
      if (load(server) < load(best)) {
        best = server;
      }
    }
    return best;
  }

  uint32_t LeastInFlight(const std::vector<uint32_t>& servers) {
    return Least(servers, [&](uint32_t i) { return double(servers_[i].own); });
  }

  uint32_t LeastReported(const std::vector<uint32_t>& servers) {
    return Least(servers, [&](uint32_t i) { return Load(i); });
  }

  uint32_t PowerOfTwo(const std::vector<uint32_t>& servers) {
    const uint32_t a = servers[rng_.Below(servers.size())];
    const uint32_t b = servers[rng_.Below(servers.size())];
    return Load(a) <= Load(b) ? a : b;
  }

  // Rendezvous hash of the first `depth` blocks with bounded load.
  uint32_t Rendezvous(const Job& job,
                      const std::vector<uint32_t>& servers,
                      size_t depth) {
    const auto blocks = job.turn->prompt_blocks();
    const uint64_t key =
        blocks.empty() ? 0 : blocks[std::min(depth, blocks.size()) - 1];
    double sum = 0;
    for (const uint32_t server : servers) {
      sum += Load(server);
    }
    const double bound = kLoadBound * (sum + 1) / double(servers.size());
    std::vector<uint32_t> order = servers;
    std::sort(order.begin(), order.end(), [&](uint32_t a, uint32_t b) {
      return HashPair(key, a) > HashPair(key, b);
    });
    for (const uint32_t server : order) {
      if (Load(server) + 1 <= std::max(1.0, bound)) {
        return server;
      }
    }
    return order.front();
  }

 private:
  struct Server {
    uint32_t own = 0;
    uint32_t reported = 0;
    uint32_t since_report = 0;
  };

  struct Bucket {
    double rate = 0;
    double level = 0;
    TimePoint filled;
  };

  static bool Take(Bucket& bucket, double tokens, TimePoint now) {
    if (bucket.rate == 0) {
      return true;
    }
    const double elapsed = double((now - bucket.filled).count()) / 1e6;
    bucket.filled = now;
    bucket.level = std::min(std::max(tokens, bucket.rate * kBucketSeconds),
                            bucket.level + elapsed * bucket.rate);
    if (bucket.level < tokens) {
      return false;
    }
    bucket.level -= tokens;
    return true;
  }

  PolicyActions Choose(const Job& job) {
    std::vector<uint32_t> candidates;
    for (uint32_t i = 0; i < servers_.size(); ++i) {
      const ServerId id("server-" + std::to_string(i));
      const bool excluded = std::find(job.excluded.begin(), job.excluded.end(),
                                      id) != job.excluded.end();
      if (!excluded && (leaving_.empty() || !leaving_[i])) {
        candidates.push_back(i);
      }
    }
    if (candidates.empty()) {
      return {{.kind = PolicyActionKind::kRefuse, .turn = job.turn->id}};
    }
    return {{.turn = job.turn->id, .server = pick_(*this, job, candidates)}};
  }

  Rng rng_;
  Pick pick_;
  std::vector<Server> servers_;
  std::vector<Bucket> buckets_;
  std::vector<bool> leaving_;
  uint32_t next_ = 0;
};

}  // namespace

std::unique_ptr<Policy> MakeBaseline(const std::string& name,
                                     const Deployment& deployment,
                                     const Configuration& config,
                                     uint64_t seed) {
  using Servers = std::vector<uint32_t>;
  BaselinePolicy::Pick pick;
  if (name == "round_robin") {
    pick = [](BaselinePolicy& policy, const Job&, const Servers& servers) {
      return policy.RoundRobin(servers);
    };
  } else if (name == "least_loaded") {
    pick = [](BaselinePolicy& policy, const Job&, const Servers& servers) {
      return policy.LeastInFlight(servers);
    };
  } else if (name == "least_reported") {
    pick = [](BaselinePolicy& policy, const Job&, const Servers& servers) {
      return policy.LeastReported(servers);
    };
  } else if (name == "power_of_two") {
    pick = [](BaselinePolicy& policy, const Job&, const Servers& servers) {
      return policy.PowerOfTwo(servers);
    };
  } else if (name == "rendezvous") {
    constexpr size_t kDepth = 16;
    pick = [](BaselinePolicy& policy, const Job& job, const Servers& servers) {
      return policy.Rendezvous(job, servers, kDepth);
    };
  } else {
    return nullptr;
  }
  return std::make_unique<BaselinePolicy>(deployment, config, seed,
                                          std::move(pick));
}

}  // namespace qh::bench
