#include "benchmarks/demo/demo_report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace qh::demo {
namespace {

constexpr size_t kMaxComplaints = 20;

double QuantileMs(std::vector<Duration> values, double quantile) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return ToMilliseconds(
      values[static_cast<size_t>(std::lround(quantile * last))]);
}

double Rounded(double value) {
  return std::round(value * 1'000) / 1'000;
}

}  // namespace

void DemoReport::Add(const WorkItem& item, const WorkResult& result) {
  const std::lock_guard lock(mutex_);
  Row& row = rows_[item.kind];
  ++row.requests;
  row.moves += result.moves;
  row.retries += result.retries;
  switch (result.outcome) {
    case WorkOutcome::kAnsweredWhole:
      ++row.answered;
      break;
    case WorkOutcome::kRefused:
      ++row.refused;
      break;
    case WorkOutcome::kCutStream:
      ++row.cut;
      break;
    case WorkOutcome::kLost:
      ++row.lost;
      break;
  }
  if (!result.detail.empty()) {
    Complain(std::string(ToName(item.kind)) + " " + item.idempotency_key +
             ": " + result.detail);
  }
  if (!item.idempotency_key.empty()) {
    bookings_[item.idempotency_key] = result.outcome;
  }
  if (result.first_token) {
    first_tokens_.push_back(*result.first_token);
  }
}

void DemoReport::AddDirect(Duration first_token) {
  const std::lock_guard lock(mutex_);
  direct_.push_back(first_token);
}

void DemoReport::Complain(const std::string& text) {
  if (complaints_.size() < kMaxComplaints) {
    complaints_.push_back(text);
  }
}

void DemoReport::Judge(const Executions& executions) {
  const std::lock_guard lock(mutex_);
  for (const auto& [key, count] : executions) {
    if (count > 1) {
      ++duplicates_run_;
      Complain("booking " + key + " ran " + std::to_string(count) + " times");
    }
  }
  for (const auto& [key, outcome] : bookings_) {
    const bool ran = executions.contains(key);
    if (outcome == WorkOutcome::kAnsweredWhole && !ran) {
      ++answered_not_run_;
      Complain("booking " + key + " was answered and did not run");
    }
    if (outcome == WorkOutcome::kRefused && ran) {
      ++dishonest_refusals_;
      Complain("booking " + key + " was refused as not run and ran");
    }
  }
}

DemoReport::Row DemoReport::Total() const {
  Row total;
  for (const auto& [kind, row] : rows_) {
    total.requests += row.requests;
    total.answered += row.answered;
    total.refused += row.refused;
    total.cut += row.cut;
    total.lost += row.lost;
    total.moves += row.moves;
    total.retries += row.retries;
  }
  return total;
}

std::string DemoReport::Table() const {
  std::string text;
  const auto line = [&](const char* name, const Row& row) {
    char buffer[160];
    std::snprintf(buffer, sizeof(buffer),
                  "%-16s %8lu %8lu %8lu %6lu %6lu %6lu %8lu\n", name,
                  row.requests, row.answered, row.refused, row.cut, row.lost,
                  row.moves, row.retries);
    text += buffer;
  };
  text +=
      "work             requests    whole  refused    cut   lost  moved  "
      "retries\n";
  for (const auto& [kind, row] : rows_) {
    line(std::string(ToName(kind)).c_str(), row);
  }
  line("all", Total());
  char latency[160];
  std::snprintf(latency, sizeof(latency),
                "first token: p50 %.1f ms, p99 %.1f ms; of which the engine "
                "takes p50 %.1f ms, p99 %.1f ms\n",
                QuantileMs(first_tokens_, 0.5), QuantileMs(first_tokens_, 0.99),
                QuantileMs(direct_, 0.5), QuantileMs(direct_, 0.99));
  text += latency;
  text += "bookings run twice: " + std::to_string(duplicates_run_) +
          ", refused but run: " + std::to_string(dishonest_refusals_) +
          ", answered but not run: " + std::to_string(answered_not_run_) + "\n";
  for (const std::string& complaint : complaints_) {
    text += "  " + complaint + "\n";
  }
  return text;
}

double DemoReport::AddedMs(double quantile) const {
  return Rounded(QuantileMs(first_tokens_, quantile) -
                 QuantileMs(direct_, quantile));
}

std::string DemoReport::Json() const {
  const Row total = Total();
  const nlohmann::ordered_json root = {{"requests", total.requests},
                                       {"answered_whole", total.answered},
                                       {"refused", total.refused},
                                       {"cut_streams", total.cut},
                                       {"lost", total.lost + answered_not_run_},
                                       {"duplicates_run", duplicates_run_},
                                       {"refused_but_run", dishonest_refusals_},
                                       {"p50_added_ms", AddedMs(0.5)},
                                       {"p99_added_ms", AddedMs(0.99)}};
  return root.dump();
}

bool DemoReport::held() const {
  const Row total = Total();
  const bool each_answered =
      !rows_.empty() && std::all_of(rows_.begin(), rows_.end(), [](auto& row) {
        return row.second.answered > 0;
      });
  return each_answered && total.cut == 0 && total.lost == 0 &&
         duplicates_run_ == 0 && dishonest_refusals_ == 0 &&
         answered_not_run_ == 0;
}

}  // namespace qh::demo
