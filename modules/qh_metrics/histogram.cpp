#include "qh_metrics/histogram.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cassert>

namespace qh {
namespace {

namespace acc = boost::accumulators;

constexpr std::array kQuantiles = {0.5, 0.95, 0.99};

}  // namespace

struct Histogram::Impl {
  Impl() : set(acc::extended_p_square_probabilities = kQuantiles) {}
  acc::accumulator_set<
      double,
      acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>
      set;
};

Histogram::Histogram() : impl_(std::make_unique<Impl>()) {}
Histogram::~Histogram() = default;
Histogram::Histogram(Histogram&&) noexcept = default;
Histogram& Histogram::operator=(Histogram&&) noexcept = default;

void Histogram::Add(double sample) {
  impl_->set(sample);
}

uint64_t Histogram::count() const {
  return acc::count(impl_->set);
}

double Histogram::sum() const {
  return acc::sum(impl_->set);
}

double Histogram::Quantile(double q) const {
  if (count() == 0) {
    return 0;
  }
  for (size_t i = 0; i < kQuantiles.size(); ++i) {
    if (kQuantiles[i] == q) {
      return acc::extended_p_square(impl_->set)[i];
    }
  }
  assert(false && "quantile is not tracked");
  return 0;
}

}  // namespace qh
