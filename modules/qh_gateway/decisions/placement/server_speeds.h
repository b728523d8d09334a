// Estimates how fast each engine computes prompts, relative to the engines of
// its service.
//
// Load pattern: servers of one service prefill at 0.6 to 1.6 times its rate,
// each has slow phases of 0.6 s in which it is 2.5 times slower, and a node has
// few samples of each server. A node's estimate is therefore the median over
// samples from different times, so that neither a slow phase nor a wait for
// other requests moves it far. Samples of one time count once. Nodes exchange
// their estimates with the number of samples; few samples leave a server near
// its service's rate.
//
// The class does no I/O and reads no clock.

#ifndef QH_GATEWAY_DECISIONS_PLACEMENT_SERVER_SPEEDS_H_
#define QH_GATEWAY_DECISIONS_PLACEMENT_SERVER_SPEEDS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "qh_core/ids/ids.h"
#include "qh_core/time/time.h"
#include "qh_gateway/model/server_record.h"

namespace qh {

// What one or several nodes measured at a server process.
struct SpeedReport {
  // Start of the server's process, see ServerRecord.
  int64_t started_ms = 0;
  // Prefill rate in prompt tokens per millisecond.
  double rate = 0;
  // Samples that the rate rests on; older ones count less.
  double samples = 0;

  // Combines the reports of other nodes with this one. A report on an older
  // process is dropped.
  void Merge(const SpeedReport& other);
  // Whether the values can be those of a server.
  bool IsValid() const;
};

using SpeedReports = std::map<ServerId, SpeedReport>;

// Merges `more` into `sum`. Invalid reports, and servers beyond kMaxReported,
// are left out.
void MergeSpeeds(SpeedReports& sum, const SpeedReports& more);

// Speeds of a service's servers.
struct SpeedRange {
  double slowest = 1;
  double mean = 1;
  double fastest = 1;
};

class ServerSpeeds {
 public:
  // Prefill rates outside of these bounds are cut to them, in prompt tokens per
  // millisecond.
  static constexpr double kMinRate = 5;
  static constexpr double kMaxRate = 4'000;
  // Samples within this time of each other count once. A slow phase of a server
  // is about as long.
  static constexpr Duration kSampleInterval = std::chrono::milliseconds(600);
  // The median is taken over up to so many samples of a server.
  static constexpr size_t kMaxSamples = 15;
  // A sample counts half after this time.
  static constexpr Duration kHalfLife = std::chrono::seconds(30);
  // A peer's report without a newer one counts half after this time.
  static constexpr Duration kPeerHalfLife = std::chrono::seconds(5);
  // Reports and samples that count less than this are dropped.
  static constexpr double kMinWeight = 0.05;
  // The service's rate counts as much as this number of samples.
  static constexpr double kPriorSamples = 2;
  // The reports of all peers on a server count as this many samples at most,
  // because they may all stem from one slow phase.
  static constexpr double kMaxPeerSamples = 12;
  // A report with more samples is invalid.
  static constexpr double kMaxReportedSamples = 1e6;
  // Bounds of the speeds.
  static constexpr double kMinSpeed = 0.25;
  static constexpr double kMaxSpeed = 4;
  // Servers in one report, those with the newest samples.
  static constexpr size_t kMaxReported = 256;
  // Weights of home servers are powers of this, so that estimates that differ a
  // little between nodes give the same weights.
  static constexpr double kHomeWeightStep = 1.25;
  // Least time between two updates of the speeds.
  static constexpr Duration kUpdateInterval = std::chrono::milliseconds(500);

  // A prompt was prefilled at `rate` tokens per millisecond.
  void OnSample(const ServerId& server,
                int64_t started_ms,
                double rate,
                TimePoint now);
  // `source`, a node or several, reports its samples. Returns how many of them
  // were invalid and left out.
  size_t OnPeer(const std::string& source,
                const SpeedReports& reports,
                TimePoint now);
  // The server's process restarted, or the server is gone.
  void Forget(const ServerId& server);
  // Updates the speeds of `servers` when that is due. Samples take effect only
  // here.
  void OnTick(const std::vector<const ServerRecord*>& servers, TimePoint now);

  // Returns the server's prefill rate relative to its service's, 1 for an
  // unknown server.
  double Speed(const ServerRecord& server) const;
  // Returns the weight of the server among the possible home servers of a
  // prompt.
  double HomeWeight(const ServerRecord& server) const;
  // Returns the speeds of `servers`.
  SpeedRange Range(const std::vector<const ServerRecord*>& servers) const;
  // Returns this node's own samples, for its peers.
  SpeedReports Report(TimePoint now) const;

 private:
  // The samples of one time.
  struct Sample {
    TimePoint at;
    double log_rate_sum = 0;
    uint32_t count = 0;
  };
  // What this node measured at a server.
  struct Measured {
    int64_t started_ms = 0;
    // Oldest first.
    std::vector<Sample> samples;
  };
  struct PeerReport {
    SpeedReport report;
    TimePoint received_at;
  };
  // Speed and weight of a server process, as of the last update.
  struct Known {
    int64_t started_ms = 0;
    double speed = 1;
    double home_weight = 1;
  };

  // Returns the median of the samples, without samples if there are none.
  static SpeedReport Estimate(const Measured& measured, TimePoint now);
  // Returns the sum of the peers' reports on the server's current process.
  SpeedReport PeerSum(const ServerRecord& server, TimePoint now) const;
  void DropOld(TimePoint now);
  // Returns what is known of the server's current process, or null.
  const Known* Find(const ServerRecord& server) const;

  std::map<ServerId, Measured> own_;
  std::map<std::string, std::map<ServerId, PeerReport>> peers_;
  // Servers with samples.
  std::unordered_map<ServerId, Known> known_;
  // Whether all servers have a home weight of 1.
  bool equal_home_weights_ = true;
  TimePoint updated_at_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_PLACEMENT_SERVER_SPEEDS_H_
