// Stand-in of the platform's store: objects by kind and name, watches, and the
// drill in which the store comes back from an older copy of itself.

#ifndef REVIEW_STAND_INS_STORE_H_
#define REVIEW_STAND_INS_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http.h"

namespace review {

class Store {
 public:
  Store();

  std::string address() const { return server_.address(); }
  // Writes an object as the operator or a server does. These are written again
  // after a drill.
  void Put(const std::string& kind,
           const std::string& name,
           const nlohmann::json& spec);
  void Remove(const std::string& kind, const std::string& name);
  // Every connection is reset while the store is away.
  void GoAway();
  // Comes back from the copy that was made `age_ms` before it went away.
  void ReturnFromCopy(int64_t age_ms);
  // Whether there is an object.
  bool Holds(const std::string& kind, const std::string& name);

 private:
  struct Object {
    uint64_t revision = 0;
    nlohmann::json spec = {};
  };
  struct Change {
    uint64_t revision = 0;
    int64_t at_ms = 0;
    std::string kind;
    std::string name;
    nlohmann::json spec = {};
    bool removed = false;
  };

  bool Serve(const Message& request, Connection& connection);
  std::string Read(const Message& request,
                   const std::string& kind,
                   const std::string& name,
                   std::unique_lock<std::mutex>& lock);
  std::string Watch(const std::string& kind,
                    uint64_t revision,
                    int64_t wait_ms,
                    std::unique_lock<std::mutex>& lock);
  std::string Write(const Message& request,
                    const std::string& kind,
                    const std::string& name);
  void Add(Change change);
  std::string Reply(int status, const nlohmann::json& body) const;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::vector<Change> changes_;
  // What the operator and the servers wrote last.
  std::map<std::pair<std::string, std::string>, nlohmann::json> foreign_;
  uint64_t revision_ = 1;
  uint64_t era_ = 1;
  bool away_ = false;
  int64_t away_since_ms_ = 0;
  Server server_;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_STORE_H_
