// The counters, gauges and histograms of a process, by name and labels, and the
// text that /metrics serves.

#ifndef QH_METRICS_METRICS_REGISTRY_H_
#define QH_METRICS_METRICS_REGISTRY_H_

#include <compare>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "qh_metrics/histogram.h"

namespace qh {

// Name and labels of one series. Unused labels stay empty.
struct MetricKey {
  std::string name;
  std::string team;
  std::string request_class;
  // Reason of a decision or kind of an error.
  std::string reason;

  friend auto operator<=>(const MetricKey&, const MetricKey&) = default;
};

// Thread safe.
class MetricsRegistry {
 public:
  // Adds `by` to the counter `key`.
  void Count(const MetricKey& key, uint64_t by = 1);

  // Adds one sample to the histogram `key`.
  void Observe(const MetricKey& key, double sample);

  // Sets the gauge `key` to `value`.
  void Set(const MetricKey& key, double value);

  // Returns the value of the counter `key`, or zero if it was never counted.
  uint64_t CounterValue(const MetricKey& key) const;

  // Returns every series in the Prometheus text format.
  std::string Exposition() const;

 private:
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  std::map<MetricKey, uint64_t> counters_;
  std::map<MetricKey, double> gauges_;
  std::map<MetricKey, Histogram> histograms_;
};

}  // namespace qh

#endif  // QH_METRICS_METRICS_REGISTRY_H_
