#include "qh_requests/quarantine/crash_quarantine.h"

#include <algorithm>
#include <cassert>

#include "qh_core/hash/hash.h"
#include "qh_requests/wire/field_map.h"

namespace qh {

std::string SuspicionRecord::Encode() const {
  std::vector<std::string> servers;
  for (const ServerId& server : crashed) {
    servers.push_back(server.value());
  }
  return FieldMap()
      .Set("print", fingerprint)
      .Set("round", round)
      .Set("crashed", std::move(servers))
      .Encode();
}

Result<SuspicionRecord> SuspicionRecord::Decode(std::string_view bytes) {
  BOOST_OUTCOME_TRY(fields, FieldMap::Decode(bytes));
  BOOST_OUTCOME_TRY(fingerprint, fields.RequiredText("print"));
  SuspicionRecord record;
  record.fingerprint = fingerprint;
  record.round = fields.Number("round");
  for (const std::string& server : fields.List("crashed")) {
    record.crashed.insert(ServerId(server));
  }
  return record;
}

std::string GrantedRun::Encode() const {
  return FieldMap()
      .Set("request", request_id.value())
      .Set("print", fingerprint)
      .Set("server", server.value())
      .Encode();
}

Result<GrantedRun> GrantedRun::Decode(std::string_view bytes) {
  BOOST_OUTCOME_TRY(fields, FieldMap::Decode(bytes));
  BOOST_OUTCOME_TRY(request_id, fields.RequiredText("request"));
  BOOST_OUTCOME_TRY(fingerprint, fields.RequiredText("print"));
  BOOST_OUTCOME_TRY(server, fields.RequiredText("server"));
  return GrantedRun{RequestId(request_id), fingerprint, ServerId(server)};
}

ServerId FirstChoiceServer(std::string_view fingerprint,
                           const std::vector<ServerId>& servers) {
  assert(!servers.empty());
  const uint64_t key = Hash64(fingerprint);
  return *std::max_element(servers.begin(), servers.end(),
                           [&](const ServerId& a, const ServerId& b) {
                             return RendezvousWeight(key, a.value()) <
                                    RendezvousWeight(key, b.value());
                           });
}

CrashQuarantine CrashQuarantine::Create(CrashQuarantineSettings settings) {
  return CrashQuarantine(settings);
}

CrashQuarantine::CrashQuarantine(CrashQuarantineSettings settings)
    : settings_(settings) {}

void CrashQuarantine::Tick(TimePoint now) {
  if (now - last_tick_ > settings_.max_tick_gap) {
    caught_up_at_ = now + settings_.gossip_catch_up;
  }
  last_tick_ = now;
}

QuarantineVerdict CrashQuarantine::Check(const std::string& fingerprint,
                                         bool first_choice,
                                         TimePoint now) const {
  if (IsBlocked(fingerprint)) {
    return QuarantineVerdict::kRefuse;
  }
  const bool paused =
      now < caught_up_at_ || now - last_tick_ > settings_.max_tick_gap;
  if (!first_choice || paused || IsSuspect(fingerprint)) {
    return QuarantineVerdict::kAskArbiter;
  }
  return QuarantineVerdict::kRun;
}

void CrashQuarantine::OnDispatched(const std::string& fingerprint,
                                   const ServerId& server) {
  ++in_flight_[server][fingerprint];
}

void CrashQuarantine::OnEnded(const std::string& fingerprint,
                              const ServerId& server) {
  const auto runs = in_flight_.find(server);
  if (runs == in_flight_.end()) {
    return;
  }
  const auto run = runs->second.find(fingerprint);
  if (run != runs->second.end() && --run->second == 0) {
    runs->second.erase(run);
  }
  if (runs->second.empty()) {
    in_flight_.erase(runs);
  }
}

void CrashQuarantine::OnCancelled(const std::string& fingerprint,
                                  const ServerId& server,
                                  TimePoint now) {
  OnEnded(fingerprint, server);
  while (!cancelled_runs_.empty() &&
         now >= cancelled_runs_.front().expires_at) {
    cancelled_runs_.pop_front();
  }
  cancelled_runs_.push_back(
      {fingerprint, server, now + settings_.cancel_grace});
}

std::set<std::string> CrashQuarantine::ExtractRuns(const ServerId& server,
                                                   TimePoint now) {
  std::set<std::string> fingerprints;
  const auto runs = in_flight_.extract(server);
  if (!runs.empty()) {
    for (const auto& [fingerprint, count] : runs.mapped()) {
      fingerprints.insert(fingerprint);
    }
  }
  for (const CancelledRun& run : cancelled_runs_) {
    if (run.server == server && now < run.expires_at) {
      fingerprints.insert(run.fingerprint);
    }
  }
  for (auto it = remote_runs_.begin(); it != remote_runs_.end();) {
    if (it->second.server != server) {
      ++it;
      continue;
    }
    if (now < it->second.expires_at) {
      fingerprints.insert(it->second.fingerprint);
    }
    it = remote_runs_.erase(it);
  }
  return fingerprints;
}

void CrashQuarantine::OnRemoteRunGranted(const GrantedRun& run, TimePoint now) {
  remote_runs_[run.request_id] = {
      .fingerprint = run.fingerprint,
      .server = run.server,
      .expires_at = now + settings_.granted_run_timeout};
}

bool CrashQuarantine::HasRemoteSuspect(const ServerId& server,
                                       TimePoint now) const {
  return std::any_of(
      remote_runs_.begin(), remote_runs_.end(), [&](const auto& item) {
        return item.second.server == server && now < item.second.expires_at;
      });
}

void CrashQuarantine::OnRemoteRunEnded(const RequestId& request_id) {
  remote_runs_.erase(request_id);
}

std::vector<SuspicionRecord> CrashQuarantine::ClearExplainedCrashes(
    const std::string& fingerprint,
    TimePoint now) {
  const std::set<ServerId> explained = CrashedServers(fingerprint);
  for (const auto& [other, suspicion] : suspicions_) {
    if (other != fingerprint &&
        suspicion.crashed.size() >= kMaxCrashesPerFingerprint) {
      return {};
    }
  }
  std::vector<SuspicionRecord> cleared;
  for (auto& [other, suspicion] : suspicions_) {
    const auto before = suspicion.crashed.size();
    if (other == fingerprint) {
      continue;
    }
    std::erase_if(suspicion.crashed, [&](const ServerId& server) {
      return explained.contains(server);
    });
    if (suspicion.crashed.size() != before) {
      ++suspicion.round;
      suspicion.changed = now;
      cleared.push_back(RecordFor(other));
    }
  }
  return cleared;
}

void CrashQuarantine::OnSuspectCompleted(const std::string& fingerprint,
                                         TimePoint now) {
  const auto it = suspicions_.find(fingerprint);
  if (it == suspicions_.end() || it->second.crashed.empty() ||
      IsBlocked(fingerprint)) {
    return;
  }
  it->second = {.round = it->second.round + 1, .changed = now};
}

std::vector<SuspicionRecord> CrashQuarantine::OnServerDied(
    const ServerId& server,
    const FailureDomainId& domain,
    ServerDeath death,
    TimePoint now) {
  const std::set<std::string> running = ExtractRuns(server, now);
  dead_servers_.insert(server);
  if (death == ServerDeath::kUnderNotice) {
    return {};
  }
  sudden_deaths_.push_back({server, domain, now});
  for (const std::string& fingerprint : running) {
    suspicions_[fingerprint].crashed.insert(server);
    suspicions_[fingerprint].changed = now;
  }
  // After this death was added, since it may complete a wave.
  DetectWave(domain, now);
  std::vector<SuspicionRecord> changed;
  for (const std::string& fingerprint : running) {
    RemoveLoneWaveServer(suspicions_[fingerprint].crashed, now);
    changed.push_back(RecordFor(fingerprint));
  }
  if (running.size() == 1 && IsBlocked(*running.begin())) {
    const auto cleared = ClearExplainedCrashes(*running.begin(), now);
    changed.insert(changed.end(), cleared.begin(), cleared.end());
  }
  return changed;
}

void CrashQuarantine::DetectWave(const FailureDomainId& domain, TimePoint now) {
  const auto in_wave = [&](const Death& death) {
    return death.domain == domain && now - death.when <= settings_.wave_window;
  };
  const auto deaths =
      std::count_if(sudden_deaths_.begin(), sudden_deaths_.end(), in_wave);
  if (static_cast<size_t>(deaths) < settings_.wave_servers) {
    return;
  }
  for (const Death& death : sudden_deaths_) {
    if (in_wave(death)) {
      wave_servers_until_[death.server] = now + settings_.wave_correction_time;
    }
  }
  for (auto& [fingerprint, suspicion] : suspicions_) {
    RemoveLoneWaveServer(suspicion.crashed, now);
  }
}

void CrashQuarantine::RemoveLoneWaveServer(std::set<ServerId>& crashed,
                                           TimePoint now) const {
  const auto in_wave = [&](const ServerId& server) {
    return IsWaveServer(server, now);
  };
  // Content that was on two of the servers may have crashed them.
  if (std::count_if(crashed.begin(), crashed.end(), in_wave) == 1) {
    std::erase_if(crashed, in_wave);
  }
}

bool CrashQuarantine::IsWaveServer(const ServerId& server,
                                   TimePoint now) const {
  const auto it = wave_servers_until_.find(server);
  return it != wave_servers_until_.end() && now < it->second;
}

void CrashQuarantine::Merge(const SuspicionRecord& record, TimePoint now) {
  Suspicion& suspicion = suspicions_[record.fingerprint];
  if (record.round < suspicion.round) {
    return;
  }
  if (record.round > suspicion.round) {
    suspicion = {.round = record.round};
  }
  suspicion.crashed.insert(record.crashed.begin(), record.crashed.end());
  RemoveLoneWaveServer(suspicion.crashed, now);
  suspicion.changed = now;
}

std::vector<SuspicionRecord> CrashQuarantine::Records() const {
  std::vector<SuspicionRecord> records;
  for (const auto& [fingerprint, suspicion] : suspicions_) {
    records.push_back({fingerprint, suspicion.round, suspicion.crashed});
  }
  return records;
}

SuspicionRecord CrashQuarantine::RecordFor(
    const std::string& fingerprint) const {
  const auto it = suspicions_.find(fingerprint);
  if (it == suspicions_.end()) {
    return {.fingerprint = fingerprint};
  }
  return {fingerprint, it->second.round, it->second.crashed};
}

std::set<ServerId> CrashQuarantine::CrashedServers(
    const std::string& fingerprint) const {
  const auto it = suspicions_.find(fingerprint);
  if (it == suspicions_.end()) {
    return {};
  }
  return it->second.crashed;
}

bool CrashQuarantine::IsSuspect(const std::string& fingerprint) const {
  return !CrashedServers(fingerprint).empty();
}

bool CrashQuarantine::IsBlocked(const std::string& fingerprint) const {
  return CrashedServers(fingerprint).size() >= kMaxCrashesPerFingerprint;
}

std::optional<TimePoint> CrashQuarantine::LastSuddenDeath(
    const ServerId& server) const {
  const auto last =
      std::find_if(sudden_deaths_.rbegin(), sudden_deaths_.rend(),
                   [&](const Death& death) { return death.server == server; });
  if (last == sudden_deaths_.rend()) {
    return std::nullopt;
  }
  return last->when;
}

void CrashQuarantine::Expire(TimePoint now) {
  std::erase_if(suspicions_, [&](const auto& item) {
    return now - item.second.changed > settings_.retention;
  });
  while (!sudden_deaths_.empty() &&
         now - sudden_deaths_.front().when > settings_.retention) {
    sudden_deaths_.pop_front();
  }
  std::erase_if(remote_runs_, [&](const auto& item) {
    return now >= item.second.expires_at;
  });
  std::erase_if(wave_servers_until_,
                [&](const auto& item) { return now >= item.second; });
}

}  // namespace qh
