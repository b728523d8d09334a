#include "store.h"

#include <chrono>
#include <cstdlib>
#include <sstream>

namespace review {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;

// Returns the number after "`name`=" in a target, or `fallback`.
uint64_t QueryNumber(const std::string& target,
                     const std::string& name,
                     uint64_t fallback) {
  const size_t at = target.find(name + "=");
  return at == std::string::npos
             ? fallback
             : std::strtoull(target.c_str() + at + name.size() + 1, nullptr,
                             10);
}

json ObjectJson(const std::string& name, uint64_t revision, const json& spec) {
  return {{"metadata",
           {{"name", name},
            {"revision", revision},
            {"created", 0},
            {"finalizers", json::array()},
            {"deleting", false}}},
          {"spec", spec},
          {"status", nullptr}};
}

}  // namespace

Store::Store()
    : server_([this](const Message& request, Connection& connection) {
        return Serve(request, connection);
      }) {}

void Store::Put(const std::string& kind,
                const std::string& name,
                const json& spec) {
  const std::lock_guard lock(mutex_);
  foreign_[{kind, name}] = spec;
  if (!away_) {
    Add({.kind = kind, .name = name, .spec = spec});
  }
}

void Store::Remove(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(mutex_);
  foreign_.erase({kind, name});
  if (!away_) {
    Add({.kind = kind, .name = name, .removed = true});
  }
}

void Store::GoAway() {
  {
    const std::lock_guard lock(mutex_);
    away_ = true;
    away_since_ms_ = WallMs();
  }
  changed_.notify_all();
  server_.ResetAll();
}

void Store::ReturnFromCopy(int64_t age_ms) {
  const std::lock_guard lock(mutex_);
  const int64_t copied_ms = away_since_ms_ - age_ms;
  std::erase_if(changes_,
                [&](const Change& change) { return change.at_ms > copied_ms; });
  objects_.clear();
  revision_ = 1;
  for (const Change& change : changes_) {
    revision_ = change.revision;
    if (change.removed) {
      objects_[change.kind].erase(change.name);
    } else {
      objects_[change.kind][change.name] = {change.revision, change.spec};
    }
  }
  ++era_;
  away_ = false;
  for (const auto& [key, spec] : foreign_) {
    const auto& known = objects_[key.first];
    const auto found = known.find(key.second);
    if (found == known.end() || found->second.spec != spec) {
      Add({.kind = key.first, .name = key.second, .spec = spec});
    }
  }
}

bool Store::Holds(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(mutex_);
  return objects_[kind].contains(name);
}

void Store::Add(Change change) {
  change.revision = ++revision_;
  change.at_ms = WallMs();
  if (change.removed) {
    objects_[change.kind].erase(change.name);
  } else {
    objects_[change.kind][change.name] = {change.revision, change.spec};
  }
  changes_.push_back(std::move(change));
  changed_.notify_all();
}

std::string Store::Reply(int status, const json& body) const {
  return Answer(status,
                {{"Content-Type", "application/json"},
                 {"Store-Era", std::to_string(era_)}},
                body.is_null() ? "" : body.dump());
}

bool Store::Serve(const Message& request, Connection& connection) {
  std::string answer;
  {
    std::unique_lock lock(mutex_);
    if (away_) {
      connection.Reset();
      return false;
    }
    const uint64_t era = era_;
    std::istringstream path(
        request.Target().substr(0, request.Target().find('?')));
    std::string skipped;
    std::string kind;
    std::string name;
    std::getline(path, skipped, '/');
    std::getline(path, skipped, '/');
    std::getline(path, kind, '/');
    std::getline(path, name, '/');
    answer = request.Method() == "GET" ? Read(request, kind, name, lock)
                                       : Write(request, kind, name);
    if (away_ || era != era_) {
      connection.Reset();
      return false;
    }
  }
  return connection.Write(answer);
}

std::string Store::Read(const Message& request,
                        const std::string& kind,
                        const std::string& name,
                        std::unique_lock<std::mutex>& lock) {
  const std::string target = request.Target();
  const auto& objects = objects_[kind];
  if (!name.empty()) {
    const auto found = objects.find(name);
    return found == objects.end()
               ? Reply(kNotFound, json::object())
               : Reply(kOk, ObjectJson(name, found->second.revision,
                                       found->second.spec));
  }
  if (target.find("watch=") != std::string::npos) {
    return Watch(kind, QueryNumber(target, "watch", 0),
                 static_cast<int64_t>(QueryNumber(target, "waitMs", 0)), lock);
  }
  json items = json::array();
  for (const auto& [item, object] : objects) {
    items.push_back(ObjectJson(item, object.revision, object.spec));
  }
  return Reply(kOk,
               {{"items", items}, {"hasMore", false}, {"asOf", revision_}});
}

std::string Store::Watch(const std::string& kind,
                         uint64_t revision,
                         int64_t wait_ms,
                         std::unique_lock<std::mutex>& lock) {
  if (revision > revision_) {
    return Reply(kGone, json::object());
  }
  const uint64_t era = era_;
  json events = json::array();
  const auto collect = [&] {
    for (const Change& change : changes_) {
      if (change.kind == kind && change.revision > revision) {
        events.push_back(
            {{"object", ObjectJson(change.name, change.revision, change.spec)},
             {"removed", change.removed}});
      }
    }
    return !events.empty();
  };
  changed_.wait_for(lock, std::chrono::milliseconds(wait_ms),
                    [&] { return away_ || era != era_ || collect(); });
  return Reply(kOk, {{"events", events}, {"asOf", revision_}});
}

std::string Store::Write(const Message& request,
                         const std::string& kind,
                         const std::string& path_name) {
  auto& objects = objects_[kind];
  const json object = json::parse(request.body, nullptr, false);
  const json metadata =
      object.is_object() ? object.value("metadata", json::object()) : json();
  const std::string name = path_name.empty() && metadata.is_object()
                               ? metadata.value("name", "")
                               : path_name;
  const auto found = objects.find(name);
  const bool exists = found != objects.end();
  if (request.Method() == "POST" && exists) {
    return Reply(kConflict,
                 ObjectJson(name, found->second.revision, found->second.spec));
  }
  if (request.Method() != "POST" && !exists) {
    return Reply(kNotFound, json::object());
  }
  const uint64_t expected =
      metadata.is_object() ? metadata.value("revision", uint64_t{0}) : 0;
  if (exists && expected != 0 && expected != found->second.revision) {
    return Reply(kConflict,
                 ObjectJson(name, found->second.revision, found->second.spec));
  }
  if (request.Method() == "DELETE") {
    Add({.kind = kind, .name = name, .removed = true});
    return Reply(kOk, json::object());
  }
  // A write that changes nothing does not raise the revision.
  if (!exists || found->second.spec != object["spec"]) {
    Add({.kind = kind, .name = name, .spec = object["spec"]});
  }
  const Object& written = objects[name];
  return Reply(kOk, ObjectJson(name, written.revision, written.spec));
}

}  // namespace review
