#include "qh_gateway/control/crash_report_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace qh {
namespace {

using Json = nlohmann::json;

constexpr const char* kRecords = "crash";
constexpr const char* kSound = "crash_sound";
constexpr const char* kVerdicts = "crash_verdicts";

// Times are sent as their age, because each node has a clock of its own.
Json AgeToJson(TimePoint at, TimePoint now) {
  return Duration(now - at).count();
}

TimePoint AgeFromJson(const Json& json, TimePoint now) {
  return now - Duration(json.get<int64_t>());
}

Json CrashRecordsToJson(const std::vector<CrashRecord>& records,
                        TimePoint now) {
  Json list = Json::array();
  for (const CrashRecord& record : records) {
    list.push_back({record.content, record.server, AgeToJson(record.at, now),
                    record.features});
  }
  return list;
}

std::vector<CrashRecord> CrashRecordsFromJson(const Json& json, TimePoint now) {
  // Nodes of an earlier version send the first two fields alone.
  constexpr size_t kFields = 4;
  std::vector<CrashRecord> records;
  for (const Json& entry : json) {
    CrashRecord record{.server = entry.at(1), .content = entry.at(0)};
    const bool complete = entry.size() >= kFields;
    record.at = complete ? AgeFromJson(entry.at(2), now) : now;
    record.features = complete ? entry.at(3).get<std::vector<Feature>>()
                               : std::vector<Feature>{record.content};
    std::sort(record.features.begin(), record.features.end());
    records.push_back(std::move(record));
  }
  return records;
}

Json SoundAnswersToJson(const std::vector<SoundAnswer>& answers,
                        TimePoint now) {
  Json list = Json::array();
  for (const SoundAnswer& answer : answers) {
    list.push_back({answer.feature, AgeToJson(answer.began, now)});
  }
  return list;
}

Json VerdictsToJson(const std::vector<CrashVerdict>& verdicts, TimePoint now) {
  Json list = Json::array();
  for (const CrashVerdict& verdict : verdicts) {
    list.push_back({verdict.features, AgeToJson(verdict.crashed, now),
                    AgeToJson(verdict.decided, now),
                    AgeToJson(verdict.refused, now), verdict.trials,
                    verdict.crashes});
  }
  return list;
}

std::vector<CrashVerdict> VerdictsFromJson(const Json& json, TimePoint now) {
  std::vector<CrashVerdict> verdicts;
  for (const Json& entry : json) {
    CrashVerdict verdict{.features = entry.at(0),
                         .crashed = AgeFromJson(entry.at(1), now),
                         .decided = AgeFromJson(entry.at(2), now),
                         .refused = AgeFromJson(entry.at(3), now),
                         .trials = entry.at(4),
                         .crashes = entry.at(5)};
    std::sort(verdict.features.begin(), verdict.features.end());
    verdicts.push_back(std::move(verdict));
  }
  return verdicts;
}

}  // namespace

void AddCrashReport(const CrashReport& report, Json& json) {
  json[kRecords] = CrashRecordsToJson(report.records, report.made);
  json[kSound] = SoundAnswersToJson(report.sound, report.made);
  json[kVerdicts] = VerdictsToJson(report.verdicts, report.made);
}

CrashReport CrashReportFromJson(const Json& json, TimePoint now) {
  CrashReport report{.made = now,
                     .records = CrashRecordsFromJson(json.at(kRecords), now)};
  // Nodes of an earlier version don't send the others.
  if (const auto sound = json.find(kSound); sound != json.end()) {
    for (const Json& entry : *sound) {
      report.sound.push_back({entry.at(0), AgeFromJson(entry.at(1), now)});
    }
  }
  if (const auto verdicts = json.find(kVerdicts); verdicts != json.end()) {
    report.verdicts = VerdictsFromJson(*verdicts, now);
  }
  return report;
}

}  // namespace qh
