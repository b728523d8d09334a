// Searches seeded sessions for broken promises and measures claim logs at the
// design rate. usage: scripts/bench outcomes --seed N --sessions M

#include <iostream>
#include <nlohmann/json.hpp>

#include "apps/common/program.h"
#include "benchmarks/outcomes/claim_rate.h"
#include "fakes/outcome_search.h"

namespace qh {
namespace {

namespace po = boost::program_options;

constexpr double kDesignClaimsPerSecond = 2000;

void PrintClaimWays(uint64_t seed) {
  for (const ClaimWay way : {ClaimWay::kPartitionLogs, ClaimWay::kPerRequest,
                             ClaimWay::kMintedKeys}) {
    for (const double rate : {5.0, 100.0, kDesignClaimsPerSecond}) {
      for (const bool outage : {false, true}) {
        const ClaimRate measured = MeasureClaims(way, rate, outage, seed);
        std::cout << "claims way=" << ToName(way) << " rate=" << rate
                  << " outage=" << (outage ? "5s" : "none")
                  << " writes_per_s=" << measured.writes_per_second
                  << " writes_per_claim=" << measured.writes_per_claim
                  << " added_ms_p50=" << measured.added_ms_p50
                  << " added_ms_p99=" << measured.added_ms_p99
                  << " refused_share=" << measured.refused_share
                  << " resends_unknown_after_node_loss="
                  << measured.unknown_after_node_loss << "\n";
      }
    }
  }
}

ExitCode Run(const po::variables_map& values) {
  const auto seed = values["seed"].as<uint64_t>();
  const auto sessions = values["sessions"].as<uint64_t>();
  const auto without =
      FromName<OutcomeGuard>(values["without"].as<std::string>());
  if (!without) {
    std::cerr << "--without is one of " << NameList<OutcomeGuard>() << "\n";
    return ExitCode::kUsage;
  }
  PrintClaimWays(seed);
  const OutcomeSearchResult result =
      SearchOutcomes(seed, sessions, *without, false);
  const OutcomeTotals& totals = result.totals;
  std::cout << "accepted_once=" << totals.accepted_once
            << " lost_with_node=" << totals.lost_with_node
            << " innocents_quarantined=" << totals.innocents_quarantined
            << "\n";
  if (result.first_broken) {
    std::cout << "first_broken_session=" << *result.first_broken << "\n";
  }
  const ClaimRate rate = MeasureClaims(ClaimWay::kPartitionLogs,
                                       kDesignClaimsPerSecond, false, seed);
  const nlohmann::ordered_json line = {
      {"sessions", totals.sessions},
      {"requests", totals.requests},
      {"accepted", totals.accepted},
      {"refused", totals.refused},
      {"answered_whole", totals.answered_whole},
      {"lost_accepted", totals.lost_accepted},
      {"cut_streams", totals.cut_streams},
      {"duplicates_run", totals.duplicates_run},
      {"false_not_run", totals.false_not_run},
      {"crossed", totals.crossed},
      {"servers_lost_per_poison_max", totals.servers_lost_per_poison_max},
      {"unknown", totals.unknown},
      {"store_writes_per_claim", rate.writes_per_claim},
      {"claim_added_ms_p99", rate.added_ms_p99}};
  std::cout << line.dump() << "\n";
  return totals.broken() ? ExitCode::kFailed : ExitCode::kOk;
}

}  // namespace
}  // namespace qh

int main(int argc, char** argv) {
  qh::po::options_description options("options");
  options.add_options()("seed", qh::po::value<uint64_t>()->default_value(1),
                        "seed of all draws")(
      "sessions", qh::po::value<uint64_t>()->default_value(2000),
      "sessions to search")("without",
                            qh::po::value<std::string>()->default_value("none"),
                            "guard to switch off");
  return qh::RunProgram(argc, argv, "bench_outcomes",
                        "searches for broken promises", std::move(options),
                        qh::Run);
}
