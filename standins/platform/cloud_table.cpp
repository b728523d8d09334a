#include "standins/platform/cloud_table.h"

#include <algorithm>

namespace qh::standins {

using nlohmann::json;

CloudTable::CloudTable(Duration lag) : lag_(lag) {}

void CloudTable::Publish(const std::string& id,
                         std::optional<Row> row,
                         TimePoint now) {
  pending_.push_back({now + lag_, id, std::move(row)});
}

void CloudTable::Change(const std::string& id,
                        const json& change,
                        TimePoint now) {
  const std::lock_guard lock(mutex_);
  Row& row = rows_[id];
  row.value.merge_patch(change);
  row.value["id"] = id;
  if (change.contains("notice_s")) {
    row.notice_end = now + FromSeconds(change["notice_s"].get<double>());
  }
  Publish(id, row, now);
}

void CloudTable::Remove(const std::string& id, TimePoint now) {
  const std::lock_guard lock(mutex_);
  rows_.erase(id);
  Publish(id, std::nullopt, now);
}

json CloudTable::List(TimePoint now) {
  const std::lock_guard lock(mutex_);
  while (!pending_.empty() && pending_.front().shown_from <= now) {
    Pending& next = pending_.front();
    if (next.row) {
      shown_[next.id] = std::move(*next.row);
    } else {
      shown_.erase(next.id);
    }
    pending_.pop_front();
  }
  json list = json::array();
  for (const auto& [id, row] : shown_) {
    json value = row.value;
    if (value.contains("notice_s")) {
      value["notice_s"] = std::max(0.0, ToSeconds(row.notice_end - now));
    }
    list.push_back(std::move(value));
  }
  return list;
}

CloudTable::Started CloudTable::Start(const std::string& key,
                                      const json& request,
                                      TimePoint now) {
  const std::lock_guard lock(mutex_);
  const auto found = starts_.find(key);
  if (!key.empty() && found != starts_.end()) {
    return {found->second, false};
  }
  const std::string id = "i-" + std::to_string(starts_.size() + 1);
  starts_[key.empty() ? id : key] = id;
  Row& row = rows_[id];
  row.value = request;
  row.value["id"] = id;
  row.value["state"] = "live";
  Publish(id, row, now);
  return {id, true};
}

json CloudTable::prices() const {
  const std::lock_guard lock(mutex_);
  return prices_;
}

void CloudTable::SetPrices(const json& prices) {
  const std::lock_guard lock(mutex_);
  prices_ = prices;
}

}  // namespace qh::standins
