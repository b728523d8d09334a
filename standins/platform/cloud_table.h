// The cloud API's data: instances, reclaim notices, starts and prices. The list
// that it shows lags behind.

#ifndef STANDINS_PLATFORM_CLOUD_TABLE_H_
#define STANDINS_PLATFORM_CLOUD_TABLE_H_

#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "qh_core/time/time.h"

namespace qh::standins {

// Thread safe.
class CloudTable {
 public:
  // The list shows each change `lag` later.
  explicit CloudTable(Duration lag);

  // Adds or changes an instance: keys of the object `change` replace those of
  // its row. State "leaving" with "notice_s" is a reclaim notice.
  void Change(const std::string& id,
              const nlohmann::json& change,
              TimePoint now);
  void Remove(const std::string& id, TimePoint now);

  // Returns the lagging list at `now`, notices counted down.
  nlohmann::json List(TimePoint now);

  // Starts an instance with the properties `request`. A second call with `key`
  // starts nothing. Returns the instance's id and whether it is new.
  struct Started {
    std::string id;
    bool is_new = false;
  };
  Started Start(const std::string& key,
                const nlohmann::json& request,
                TimePoint now);

  nlohmann::json prices() const;
  void SetPrices(const nlohmann::json& prices);

 private:
  struct Row {
    nlohmann::json value;
    // End of the reclaim notice.
    TimePoint notice_end;
  };
  // A change that the list does not show yet; nothing is a removal.
  struct Pending {
    TimePoint shown_from;
    std::string id;
    std::optional<Row> row;
  };

  void Publish(const std::string& id, std::optional<Row> row, TimePoint now);

  const Duration lag_;
  mutable std::mutex mutex_;
  // All below are guarded by mutex_.
  std::map<std::string, Row> rows_;
  std::map<std::string, Row> shown_;
  std::deque<Pending> pending_;
  // Instance ids by idempotency key.
  std::map<std::string, std::string> starts_;
  nlohmann::json prices_ = nlohmann::json::array();
};

}  // namespace qh::standins

#endif  // STANDINS_PLATFORM_CLOUD_TABLE_H_
