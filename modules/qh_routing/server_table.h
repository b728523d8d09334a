// Stores the backend servers of a configuration under dense indexes, so that
// routing decisions work on arrays. A server keeps its index when the
// configuration changes.

#ifndef QH_ROUTING_SERVER_TABLE_H_
#define QH_ROUTING_SERVER_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "qh_routing/route_query.h"

namespace qh {

// A backend server with the data that routing decisions need.
struct ServerEntry {
  BackendServer server;
  // Hash of the id, for rendezvous hashing.
  uint64_t seed = 0;
  // Dense index of the failure domain.
  uint32_t domain = 0;
  // Requests that the server runs at a time; zero for a plain service.
  uint32_t slots = 0;
  // The server is about to go away and gets no new requests.
  bool leaving = false;
};

class ServerTable {
 public:
  // Adds and updates the servers of `config`. Removed servers keep their index
  // but are no longer candidates.
  void SetConfiguration(const Configuration& config);

  // Replaces the set of leaving servers.
  void SetLeaving(const std::set<ServerId>& leaving);

  // Sets what `server` has loaded; replaces an earlier value.
  void SetCapability(const ServerId& server, ServerCapability capability);

  // Returns the servers of the query's model or route, or null if there is no
  // such model or route; `error` then says which.
  const std::vector<uint32_t>* Candidates(const RouteQuery& query,
                                          ErrorKind& error) const;

  // Returns whether `server` may get `query` at all: it is not leaving, not
  // excluded, and has the requested versions and adapter.
  bool IsEligible(uint32_t server, const RouteQuery& query) const;

  // Returns the share of servers in the failure domain of `server` that are
  // leaving, 0 to 1.
  double LeavingShare(uint32_t server) const;

  const ServerEntry& at(uint32_t server) const { return entries_[server]; }
  size_t size() const { return entries_.size(); }

  // Returns the index of `id`, or size() if it is not known.
  uint32_t IndexOf(const ServerId& id) const;

 private:
  // Counts of the servers in a failure domain.
  struct Domain {
    uint32_t servers = 0;
    uint32_t leaving = 0;
  };

  // Adds or updates `server` and returns its index.
  uint32_t Add(const BackendServer& server, uint32_t slots);
  // Recomputes domains_.
  void CountDomains();

  // By server index.
  std::vector<ServerEntry> entries_;
  std::unordered_map<ServerId, uint32_t> indexes_;
  // Server indexes by model name and by route id.
  std::unordered_map<std::string, std::vector<uint32_t>> by_model_;
  std::unordered_map<std::string, std::vector<uint32_t>> by_route_;
  std::unordered_map<std::string, uint32_t> domain_indexes_;
  // By domain index.
  std::vector<Domain> domains_;
  std::set<ServerId> leaving_;
  std::map<ServerId, ServerCapability> capabilities_;
};

}  // namespace qh

#endif  // QH_ROUTING_SERVER_TABLE_H_
