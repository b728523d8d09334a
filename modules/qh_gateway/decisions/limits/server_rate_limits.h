// Rate limits that servers name in their answers: the requests a second that a
// server takes from all nodes together. Every node knows every limit, from the
// server itself or from its peers, and every send to a limited server takes a
// permit.
//
// The nodes divide a limit without talking to each other: a few of them, which
// all nodes rank alike, are the server's senders and have equal shares. A low
// limit has few senders, so that their first requests together stay within it.
// This bounds the sum over all nodes however late they hear of each other. Team
// limits are divided otherwise (TeamRateLimiter), because a team's callers
// choose their nodes; a request can go to other servers.
//
// A limit belongs to one process of a server. It has a version, which a node
// raises when an answer contradicts what it knows. The higher version holds,
// and of equal ones the lower limit, so that all nodes come to know the same in
// whatever order answers and reports arrive. A wrong one is corrected by the
// next answer.
//
// The class does no I/O and reads no clock.

#ifndef QH_GATEWAY_DECISIONS_LIMITS_SERVER_RATE_LIMITS_H_
#define QH_GATEWAY_DECISIONS_LIMITS_SERVER_RATE_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/ids/ids.h"
#include "qh_core/time/time.h"
#include "qh_gateway/decisions/servers/server_departures.h"

namespace qh {

// What a node knows of the limit of one server process.
struct ServerRateLimit {
  ServerProcess process;
  uint64_t version = 0;
  // Requests per second of all nodes; nullopt after the server's limit ended.
  std::optional<double> rate;
  // Time since an answer last confirmed this.
  Duration heard_ago = Duration::zero();
};

// What this node did under one limit since the last report.
struct ServerLimitUse {
  ServerRateLimit limit;
  // This node's share of the limit, in requests per second.
  double share = 0;
  uint64_t sends = 0;
  // Times that the server could not be picked for want of a permit.
  uint64_t passed_over = 0;
};

class ServerRateLimits {
 public:
  // Requests that all nodes together may send at once: kMinBurst, one more for
  // a limit of 1 a second or above, and what the limit grants in kBurstTime.
  static constexpr double kMinBurst = 3;
  static constexpr Duration kBurstTime = std::chrono::seconds(1);
  // Requests per second that are sent whatever the limit says, to hear when it
  // ends.
  static constexpr double kMinRate = 0.1;
  // A limit that no answer has confirmed for this time has all nodes as
  // senders, because its own may get no requests.
  static constexpr Duration kUnconfirmedAfter = std::chrono::seconds(30);
  // What was not confirmed for this time is forgotten.
  static constexpr Duration kLifetime = std::chrono::minutes(10);
  // Limits in one report to peers: changed ones first, then all others in turn.
  static constexpr size_t kMaxReported = 64;
  // Reports that a change is told in first.
  static constexpr uint32_t kReportsOfChange = 4;
  // Time between two reports of TakeUse.
  static constexpr Duration kUseInterval = std::chrono::seconds(4);

  // Sets the nodes that divide the limits: `self` and its peers. Until this is
  // called, the node is alone.
  void SetNodes(const std::string& self, std::vector<std::string> peers);
  // The other nodes are not known yet: this node has no share in any limit.
  void SetNodesUnknown();

  // An answer of the process named the limit `rate`, or nullopt for none.
  // Returns whether that is new.
  bool OnAnswer(const ServerProcess& process,
                std::optional<double> rate,
                TimePoint now);
  // The server's id now belongs to this process, which has named no limit yet.
  void OnStarted(const ServerProcess& process, TimePoint now);
  // A peer reports what it knows. Returns the limits that this changed.
  std::vector<ServerRateLimit> OnPeer(
      const std::vector<ServerRateLimit>& reported,
      TimePoint now);
  // Forgets what is out of date.
  void OnTick(TimePoint now);

  // Whether the server names a limit.
  bool IsLimited(const ServerId& server) const;
  // Returns nullopt if this node may send the server a request now, otherwise
  // the time until it, or another node, has a permit.
  std::optional<Duration> TimeToPermit(const ServerId& server, TimePoint now);
  // Takes a permit to send the server one request. Returns whether there was
  // one; always for a server without limit.
  bool TakePermit(const ServerId& server, TimePoint now);
  // Returns the limit of the server; nullopt without one.
  std::optional<ServerRateLimit> Find(const ServerId& server,
                                      TimePoint now) const;

  // Whether a change has not been reported to the peers yet.
  bool has_news() const { return has_news_; }
  // Returns what to tell the peers now.
  std::vector<ServerRateLimit> TakeReport(TimePoint now);
  // Returns what this node did under each limit, every kUseInterval; empty in
  // between.
  std::vector<ServerLimitUse> TakeUse(TimePoint now);
  // Returns how many servers' worth of capacity the limits of `servers`
  // withhold, when each of them would get `rate` requests per second without.
  double WithheldServers(const std::vector<ServerId>& servers,
                         double rate) const;
  // Number of servers with a limit.
  size_t limited_servers() const;

 private:
  // A server's process and this node's share in its limit.
  struct Entry {
    int64_t started_ms = 0;
    uint64_t version = 0;
    std::optional<double> rate;
    TimePoint confirmed;
    // Requests that this node may send, at most Capacity.
    double level = 0;
    TimePoint filled;
    // Rank of this node among the senders, 0 first; valid for nodes_version.
    size_t rank = 0;
    uint64_t nodes_version = 0;
    // Whether this node was a sender when the level was last filled.
    bool sender = false;
    uint32_t reports_left = 0;
    uint64_t sends = 0;
    uint64_t passed_over = 0;
  };

  static ServerRateLimit ToLimit(const ServerId& server,
                                 const Entry& entry,
                                 TimePoint now);
  static double EffectiveRate(const Entry& entry);
  // Requests that all nodes together may send at once.
  static double Burst(const Entry& entry);
  // Number of nodes that send to the server.
  size_t Senders(const Entry& entry, TimePoint now) const;
  double Capacity(const Entry& entry, TimePoint now) const;
  // This node's requests per second; zero if it is no sender.
  double Share(const ServerId& server, Entry& entry, TimePoint now);
  // Updates the rank of this node among the server's senders.
  void UpdateRank(const ServerId& server, Entry& entry);
  // Raises the level by what the share has granted up to `now`.
  void Fill(const ServerId& server, Entry& entry, TimePoint now);
  // Sets what is known of the limit, and starts to report it.
  void Change(Entry& entry,
              uint64_t version,
              std::optional<double> rate,
              TimePoint confirmed);

  bool nodes_known_ = true;
  std::string self_;
  std::vector<std::string> peers_;
  // Rises with each change of the nodes.
  uint64_t nodes_version_ = 1;
  std::map<ServerId, Entry> servers_;
  bool has_news_ = false;
  // The server that was reported last in turn.
  ServerId last_reported_;
  TimePoint use_reported_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_LIMITS_SERVER_RATE_LIMITS_H_
