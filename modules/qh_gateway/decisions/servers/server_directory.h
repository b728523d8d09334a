// The known backend servers, from their registrations in the store. Servers
// whose registration is missing after an outage of the store are kept for a
// grace period, which StoreReachability determines.
//
// A server that has announced that it leaves is draining for good, whatever its
// registration says. A store that was restored from an older copy shows servers
// that have left since; these are withheld until their registrations would have
// expired, and used only if they are still there.

#ifndef QH_GATEWAY_DECISIONS_SERVERS_SERVER_DIRECTORY_H_
#define QH_GATEWAY_DECISIONS_SERVERS_SERVER_DIRECTORY_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/ids/ids.h"
#include "qh_core/text/enum_table.h"
#include "qh_core/time/time.h"
#include "qh_gateway/decisions/servers/server_departures.h"
#include "qh_gateway/model/server_record.h"

namespace qh {

// A change to a known server.
enum class ServerChange {
  kAdded,
  kDraining,
  // The registration is missing after an outage of the store. The server is
  // used until the grace period ends.
  kLapsed,
  // The registration of a lapsed server is back.
  kReturned,
  kGone,
  // The server's id now belongs to another process.
  kRestarted,
};

template <>
inline constexpr EnumName<ServerChange> kEnumNames<ServerChange>[] = {
    {ServerChange::kAdded, "added"},   {ServerChange::kDraining, "draining"},
    {ServerChange::kLapsed, "lapsed"}, {ServerChange::kReturned, "returned"},
    {ServerChange::kGone, "gone"},     {ServerChange::kRestarted, "restarted"},
};

class ServerDirectory {
 public:
  using Hook = std::function<void(ServerChange, const ServerRecord&)>;

  // `on_change` is called after every change. `expiry` is how long the store
  // keeps the registration of a server that no longer renews it.
  ServerDirectory(Hook on_change, Duration expiry);

  // Replaces the known servers by a complete list from the store. With
  // `keep_missing`, servers that are not in the list are kept as lapsed, except
  // draining ones.
  void OnList(const std::vector<ServerRecord>& servers,
              bool keep_missing,
              TimePoint now);
  // A registration was added or changed.
  void OnServer(const ServerRecord& registered, TimePoint now);
  // A registration was removed. With `keep_missing` the server is kept as
  // lapsed, unless it is draining.
  void OnRemoved(const ServerId& id, bool keep_missing, TimePoint now);
  // The server said in an answer, or to a peer, that this process leaves.
  // Returns whether that is new.
  bool OnLeaving(const ServerProcess& process, TimePoint now);
  // The store was restored from an older copy.
  void OnStoreRestored(TimePoint now);

  // Removes the lapsed servers unless `keep_missing`, and adds the withheld
  // ones whose time is over.
  void OnTick(bool keep_missing, TimePoint now);

  // Returns the server, or null.
  const ServerRecord* Find(const ServerId& id) const;
  // Returns the servers of `service` that take new requests, in order of their
  // ids.
  std::vector<const ServerRecord*> Usable(const std::string& service) const;
  // Returns every known server.
  std::vector<const ServerRecord*> All() const;
  const ServerDepartures& departures() const { return departures_; }

 private:
  struct Entry {
    ServerRecord record;
    // The server has lapsed: its registration is missing, but the server is
    // still used.
    bool missing = false;
  };

  // Removes a known server and reports it as gone.
  void Drop(const ServerId& id, TimePoint now);
  // Whether the registration may be from the older copy that the store was
  // restored from, and out of date.
  bool IsDoubtful(const ServerRecord& server, TimePoint now) const;

  Hook on_change_;
  Duration expiry_;
  std::map<ServerId, Entry> servers_;
  ServerDepartures departures_;
  // Until then, registrations may be from the copy of a restored store.
  std::optional<TimePoint> doubtful_until_;
  // Doubtful registrations; they are disjoint from servers_ or older than the
  // entry there.
  std::map<ServerId, ServerRecord> withheld_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_SERVERS_SERVER_DIRECTORY_H_
