// Operators that change the configuration through the product's ApplyPlan, now
// and then two at the same time.

#ifndef BENCHMARKS_CONTROL_CONTROL_OPERATORS_H_
#define BENCHMARKS_CONTROL_CONTROL_OPERATORS_H_

#include <memory>

#include "benchmarks/control/control_world.h"
#include "qh_config/distribution/apply_plan.h"

namespace qh::control {

struct OperatorOptions {
  Duration mean_interval = FromSeconds(2.2);
  size_t files = 20;
  size_t file_bytes = 1'000;
  // Share of changes that a second operator makes at the same moment.
  double race_share = 0.2;
};

class ControlOperators {
 public:
  ControlOperators(ControlWorld& world, const OperatorOptions& options);

  // Applies the first configuration and then one after another until `end`.
  void Start(TimePoint end);

  // One operator changes one file.
  void Change();

  // Verdicts that the store's content contradicts.
  uint64_t misjudged() const { return misjudged_; }
  uint64_t refused() const { return refused_; }

 private:
  struct Run {
    explicit Run(ApplyPlan the_plan) : plan(std::move(the_plan)) {}
    ApplyPlan plan;
    std::vector<ConfigFile> files;
  };

  void Next();
  void Take(const std::shared_ptr<Run>& run, const ApplyStep& step);
  void Judge(const Run& run, const ApplyStep& step);

  ControlWorld& world_;
  const OperatorOptions options_;
  TimePoint end_;
  std::vector<ConfigFile> files_;
  uint64_t changes_ = 0;
  uint64_t misjudged_ = 0;
  uint64_t refused_ = 0;
};

}  // namespace qh::control

#endif  // BENCHMARKS_CONTROL_CONTROL_OPERATORS_H_
