#include "qh_gateway/decisions/placement/server_speeds.h"

#include <algorithm>
#include <cmath>

namespace qh {
namespace {

// Returns what is left of 1 after `age`.
double Decay(Duration age, Duration half_life) {
  return std::exp2(-std::max(0.0, ToSeconds(age)) / ToSeconds(half_life));
}

// Returns the weighted median of `values`, pairs of a value and its weight. If
// it lies between two values, returns their mean.
double WeightedMedian(std::vector<std::pair<double, double>> values) {
  std::sort(values.begin(), values.end());
  double total = 0;
  for (const auto& [value, weight] : values) {
    total += weight;
  }
  double below = 0;
  for (size_t i = 0; i < values.size(); ++i) {
    below += values[i].second;
    // Weights of samples from almost the same time are never quite equal.
    const double tolerance = 0.05 * total;
    if (i + 1 < values.size() && std::abs(below - total / 2) < tolerance) {
      return (values[i].first + values[i + 1].first) / 2;
    }
    if (below > total / 2) {
      return values[i].first;
    }
  }
  return values.back().first;
}

}  // namespace

void SpeedReport::Merge(const SpeedReport& other) {
  if (!other.IsValid() || other.started_ms < started_ms) {
    return;
  }
  if (samples <= 0 || other.started_ms > started_ms) {
    *this = other;
    return;
  }
  const double total = samples + other.samples;
  rate = std::exp(
      (samples * std::log(rate) + other.samples * std::log(other.rate)) /
      total);
  samples = std::min(total, ServerSpeeds::kMaxReportedSamples);
}

bool SpeedReport::IsValid() const {
  // False for values that are not numbers, too.
  return rate >= ServerSpeeds::kMinRate && rate <= ServerSpeeds::kMaxRate &&
         samples > 0 && samples <= ServerSpeeds::kMaxReportedSamples;
}

void MergeSpeeds(SpeedReports& sum, const SpeedReports& more) {
  for (const auto& [server, report] : more) {
    const bool fits =
        sum.size() < ServerSpeeds::kMaxReported || sum.contains(server);
    if (fits && report.IsValid()) {
      sum[server].Merge(report);
    }
  }
}

void ServerSpeeds::OnSample(const ServerId& server,
                            int64_t started_ms,
                            double rate,
                            TimePoint now) {
  if (!(rate > 0)) {
    return;
  }
  Measured& measured = own_[server];
  if (measured.started_ms != started_ms) {
    measured = {started_ms, {}};
  }
  auto& samples = measured.samples;
  if (samples.empty() || now - samples.back().at >= kSampleInterval) {
    if (samples.size() >= kMaxSamples) {
      samples.erase(samples.begin());
    }
    samples.push_back({.at = now});
  }
  samples.back().log_rate_sum += std::log(std::clamp(rate, kMinRate, kMaxRate));
  ++samples.back().count;
}

size_t ServerSpeeds::OnPeer(const std::string& source,
                            const SpeedReports& reports,
                            TimePoint now) {
  size_t invalid = 0;
  for (const auto& [server, report] : reports) {
    if (report.IsValid()) {
      peers_[source][server] = {report, now};
    } else {
      ++invalid;
    }
  }
  return invalid;
}

void ServerSpeeds::Forget(const ServerId& server) {
  own_.erase(server);
  known_.erase(server);
  for (auto& [source, reports] : peers_) {
    reports.erase(server);
  }
}

SpeedReport ServerSpeeds::Estimate(const Measured& measured, TimePoint now) {
  SpeedReport estimate{.started_ms = measured.started_ms};
  if (measured.samples.empty()) {
    return estimate;
  }
  std::vector<std::pair<double, double>> values;
  for (const Sample& sample : measured.samples) {
    const double weight = Decay(now - sample.at, kHalfLife);
    values.emplace_back(sample.log_rate_sum / sample.count, weight);
    estimate.samples += weight;
  }
  // Cut again, because the logarithm of a bound may not lead back to it.
  estimate.rate = std::clamp(std::exp(WeightedMedian(std::move(values))),
                             kMinRate, kMaxRate);
  return estimate;
}

SpeedReport ServerSpeeds::PeerSum(const ServerRecord& server,
                                  TimePoint now) const {
  SpeedReport sum{.started_ms = server.started_ms};
  for (const auto& [source, reports] : peers_) {
    const auto found = reports.find(server.id);
    if (found == reports.end() ||
        found->second.report.started_ms != server.started_ms) {
      continue;
    }
    SpeedReport report = found->second.report;
    report.samples *= Decay(now - found->second.received_at, kPeerHalfLife);
    sum.Merge(report);
  }
  sum.samples = std::min(sum.samples, kMaxPeerSamples);
  return sum;
}

void ServerSpeeds::DropOld(TimePoint now) {
  for (auto& [server, measured] : own_) {
    std::erase_if(measured.samples, [&](const Sample& sample) {
      return Decay(now - sample.at, kHalfLife) < kMinWeight;
    });
  }
  std::erase_if(own_,
                [](const auto& item) { return item.second.samples.empty(); });
  for (auto& [source, reports] : peers_) {
    std::erase_if(reports, [&](const auto& item) {
      return Decay(now - item.second.received_at, kPeerHalfLife) < kMinWeight;
    });
  }
  std::erase_if(peers_, [](const auto& item) { return item.second.empty(); });
}

void ServerSpeeds::OnTick(const std::vector<const ServerRecord*>& servers,
                          TimePoint now) {
  if (now - updated_at_ < kUpdateInterval) {
    return;
  }
  updated_at_ = now;
  DropOld(now);
  known_.clear();
  equal_home_weights_ = true;
  if (own_.empty() && peers_.empty()) {
    return;
  }
  struct Combined {
    const ServerRecord* server = nullptr;
    double log_rate = 0;
    // Share of the measured rate in the speed; the rest is the service's.
    double weight = 0;
  };
  // Weighted mean of the servers' logarithmic rates.
  struct Reference {
    double sum = 0;
    double weight = 0;
  };
  std::vector<Combined> combined;
  std::map<std::string, Reference> references;
  for (const ServerRecord* server : servers) {
    SpeedReport total{.started_ms = server->started_ms};
    const auto own = own_.find(server->id);
    if (own != own_.end() && own->second.started_ms == server->started_ms) {
      total.Merge(Estimate(own->second, now));
    }
    total.Merge(PeerSum(*server, now));
    if (!total.IsValid()) {
      continue;
    }
    const double weight = total.samples / (total.samples + kPriorSamples);
    combined.push_back({server, std::log(total.rate), weight});
    Reference& reference = references[server->service];
    reference.sum += weight * combined.back().log_rate;
    reference.weight += weight;
  }
  for (const Combined& entry : combined) {
    const Reference& reference = references[entry.server->service];
    const double ratio = entry.log_rate - reference.sum / reference.weight;
    const double speed =
        std::clamp(std::exp(entry.weight * ratio), kMinSpeed, kMaxSpeed);
    const double steps =
        std::round(std::log(speed) / std::log(kHomeWeightStep));
    known_[entry.server->id] = {
        .started_ms = entry.server->started_ms,
        .speed = speed,
        .home_weight = std::pow(kHomeWeightStep, steps)};
    equal_home_weights_ = equal_home_weights_ && steps == 0;
  }
}

const ServerSpeeds::Known* ServerSpeeds::Find(
    const ServerRecord& server) const {
  const auto found = known_.find(server.id);
  return found == known_.end() || found->second.started_ms != server.started_ms
             ? nullptr
             : &found->second;
}

double ServerSpeeds::Speed(const ServerRecord& server) const {
  const Known* known = Find(server);
  return known == nullptr ? 1 : known->speed;
}

double ServerSpeeds::HomeWeight(const ServerRecord& server) const {
  const Known* known = equal_home_weights_ ? nullptr : Find(server);
  return known == nullptr ? 1 : known->home_weight;
}

SpeedRange ServerSpeeds::Range(
    const std::vector<const ServerRecord*>& servers) const {
  if (servers.empty()) {
    return {};
  }
  SpeedRange range{.slowest = kMaxSpeed, .mean = 0, .fastest = kMinSpeed};
  for (const ServerRecord* server : servers) {
    const double speed = Speed(*server);
    range.slowest = std::min(range.slowest, speed);
    range.fastest = std::max(range.fastest, speed);
    range.mean += speed / static_cast<double>(servers.size());
  }
  return range;
}

SpeedReports ServerSpeeds::Report(TimePoint now) const {
  std::vector<std::pair<TimePoint, ServerId>> newest;
  for (const auto& [server, measured] : own_) {
    if (!measured.samples.empty()) {
      newest.emplace_back(measured.samples.back().at, server);
    }
  }
  if (newest.size() > kMaxReported) {
    std::partial_sort(newest.begin(), newest.begin() + kMaxReported,
                      newest.end(), std::greater<>());
    newest.resize(kMaxReported);
  }
  SpeedReports report;
  for (const auto& [at, server] : newest) {
    report[server] = Estimate(own_.at(server), now);
  }
  return report;
}

}  // namespace qh
