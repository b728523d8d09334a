// Count, sum and estimated quantiles of a stream of samples. The quantiles are
// estimated by Boost.Accumulators (extended P-square).

#ifndef QH_METRICS_HISTOGRAM_H_
#define QH_METRICS_HISTOGRAM_H_

#include <cstdint>
#include <memory>

namespace qh {

// Not thread safe; MetricsRegistry locks.
class Histogram {
 public:
  Histogram();
  ~Histogram();
  Histogram(Histogram&&) noexcept;
  Histogram& operator=(Histogram&&) noexcept;

  // Adds one sample, in the unit of the metric.
  void Add(double sample);

  uint64_t count() const;
  double sum() const;
  // Returns the estimated `q`-quantile, or zero if there are no samples. `q`
  // must be 0.5, 0.95 or 0.99.
  double Quantile(double q) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace qh

#endif  // QH_METRICS_HISTOGRAM_H_
