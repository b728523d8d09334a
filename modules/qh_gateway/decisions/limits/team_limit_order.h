// Order of a team's requests while the team sends more than its limit grants.
//
// Load pattern: bursts of a team with small, urgent requests beside large, less
// urgent ones. In order of arrival, a large request uses units in advance, so
// that the small ones after it are refused, and all refused callers return
// together.
//
// The node's share of what the limit grants is divided among classes of
// requests by priority and size: each class gets at least kGuaranteedShare of
// its part by demand, and the rest goes to the most urgent requests first, to
// large and small ones by demand. A class saves the units for its requests and
// never owes any, so that none pays for the requests of another.

#ifndef QH_GATEWAY_DECISIONS_LIMITS_TEAM_LIMIT_ORDER_H_
#define QH_GATEWAY_DECISIONS_LIMITS_TEAM_LIMIT_ORDER_H_

#include <map>
#include <optional>
#include <utility>

#include "qh_core/time/time.h"

namespace qh {

class TeamLimitOrder {
 public:
  // Part of a class's share by demand that more urgent classes leave to it.
  static constexpr double kGuaranteedShare = 0.25;
  // A request is large if it has more than this multiple of the mean units.
  static constexpr double kLargeFactor = 3;
  // Demand is averaged over about this time.
  static constexpr Duration kDemandTime = std::chrono::seconds(2);
  // A class saves what it gets in this time, or this multiple of its largest
  // request if that is more.
  static constexpr Duration kSavingTime = std::chrono::milliseconds(500);
  static constexpr double kSavedRequests = 1.5;
  // Priorities of this and above are one class.
  static constexpr int kLeastPriority = 9;

  // Adds to what the classes have saved since the last call. From now on this
  // node may admit `rate` units per second; waits are computed from
  // `usual_rate`, which doesn't vary with what is available at the moment.
  void Fill(double rate, double usual_rate, TimePoint now);
  // Notes a request that arrived, whether it is admitted or not.
  void OnRequest(int priority, double units, TimePoint now);
  // Returns nullopt if the request's class has saved its units, else the time
  // until it will have, after those that were refused before it.
  std::optional<Duration> WaitFor(int priority, double units) const;
  // Returns the time until the requests of this class that were refused before
  // will have their units.
  Duration TimeForReturning(int priority, double units) const;
  // Takes the units of an admitted request.
  void Take(int priority, double units);
  // Gives back the units of an admitted request that didn't run.
  void GiveBack(int priority, double units);
  // The caller of a refused request was told to return after `wait`. Requests
  // refused later are told to return after it.
  void OnToldToReturn(int priority, double units, Duration wait, TimePoint now);
  // Forgets what the classes have saved.
  void Reset(TimePoint now);

 private:
  struct Class {
    // Units per second that arrive, and units per second that the class gets.
    double demand = 0;
    double rate = 0;
    // Units saved; at least zero.
    double saved = 0;
    // Units of refused requests whose callers are not back yet: in all, and by
    // the time at which they return.
    double owed = 0;
    std::multimap<TimePoint, double> returns;
    // Units of the largest request so far.
    double largest = 0;
  };
  // Priority, and whether the requests are large.
  using Key = std::pair<int, bool>;

  Key KeyOf(int priority, double units) const;
  static double Capacity(const Class& requests);
  // Returns the time in which the class usually gets `units`.
  Duration TimeFor(const Class& requests, double units) const;
  // Sets what each class gets of `rate`.
  void Divide(double rate);

  std::map<Key, Class> classes_;
  double mean_units_ = 0;
  // What this node may admit now, in units per second.
  double rate_ = 0;
  double usual_rate_ = 0;
  TimePoint filled_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_LIMITS_TEAM_LIMIT_ORDER_H_
