// What the proxy bench measures: one node between callers and two engines, one
// quick and one whose streams stay open.

#ifndef BENCHMARKS_PROXY_PROXY_SITE_H_
#define BENCHMARKS_PROXY_PROXY_SITE_H_

#include <memory>
#include <string>

#include "benchmarks/proxy/node_process.h"
#include "qh_config/configuration.h"
#include "standins/engine/engine_standin.h"
#include "standins/platform/platform_standin.h"

namespace qh::bench {

inline constexpr const char* kQuickModel = "quick";
inline constexpr const char* kSlowModel = "slow";
inline constexpr const char* kTeamKey = "bench-key";

class ProxySite {
 public:
  // Starts the stand-ins in this process and the node beside it, and waits
  // until the node is ready. Fails with kInternal or kNotReady.
  static Result<std::unique_ptr<ProxySite>> Start();
  ~ProxySite();

  Address node() const { return node_callers_; }
  Address quick_engine() const;
  uint64_t NodeRssKb() const { return node_->RssKb(); }
  // Returns how many requests the node says are open.
  uint64_t OpenRequests() const;

 private:
  ProxySite() = default;
  Result<void> StartAll();
  Result<void> Apply() const;
  Result<void> WaitReady() const;

  std::string folder_;
  Address node_callers_;
  Address node_admin_;
  std::unique_ptr<standins::PlatformStandin> platform_;
  std::unique_ptr<standins::EngineStandin> quick_;
  std::unique_ptr<standins::EngineStandin> slow_;
  std::unique_ptr<NodeProcess> node_;
};

}  // namespace qh::bench

#endif  // BENCHMARKS_PROXY_PROXY_SITE_H_
