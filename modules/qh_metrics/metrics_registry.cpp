#include "qh_metrics/metrics_registry.h"

#include <sstream>

namespace qh {
namespace {

// Appends name="value" to the list `labels`, unless `value` is empty.
void AddLabel(std::string& labels, const char* name, const std::string& value) {
  if (value.empty()) {
    return;
  }
  labels += labels.empty() ? "" : ",";
  labels += std::string(name) + "=\"" + value + "\"";
}

std::string Labels(const MetricKey& key, const std::string& quantile = "") {
  std::string labels;
  AddLabel(labels, "team", key.team);
  AddLabel(labels, "class", key.request_class);
  AddLabel(labels, "reason", key.reason);
  AddLabel(labels, "quantile", quantile);
  return labels.empty() ? "" : "{" + labels + "}";
}

}  // namespace

void MetricsRegistry::Count(const MetricKey& key, uint64_t by) {
  const std::lock_guard lock(mutex_);
  counters_[key] += by;
}

void MetricsRegistry::Observe(const MetricKey& key, double sample) {
  const std::lock_guard lock(mutex_);
  histograms_[key].Add(sample);
}

void MetricsRegistry::Set(const MetricKey& key, double value) {
  const std::lock_guard lock(mutex_);
  gauges_[key] = value;
}

uint64_t MetricsRegistry::CounterValue(const MetricKey& key) const {
  const std::lock_guard lock(mutex_);
  const auto found = counters_.find(key);
  return found == counters_.end() ? 0 : found->second;
}

std::string MetricsRegistry::Exposition() const {
  const std::lock_guard lock(mutex_);
  std::ostringstream text;
  for (const auto& [key, value] : counters_) {
    text << key.name << Labels(key) << ' ' << value << '\n';
  }
  for (const auto& [key, value] : gauges_) {
    text << key.name << Labels(key) << ' ' << value << '\n';
  }
  for (const auto& [key, histogram] : histograms_) {
    for (const char* quantile : {"0.5", "0.95", "0.99"}) {
      text << key.name << Labels(key, quantile) << ' '
           << histogram.Quantile(std::stod(quantile)) << '\n';
    }
    text << key.name << "_sum" << Labels(key) << ' ' << histogram.sum() << '\n';
    text << key.name << "_count" << Labels(key) << ' ' << histogram.count()
         << '\n';
  }
  return text.str();
}

}  // namespace qh
