#ifndef LIMPETDRUM_REQUEST_REPEATBUDGET_H
#define LIMPETDRUM_REQUEST_REPEATBUDGET_H

#include "limpetdrum/process/Types.h"

#include <map>
#include <random>

namespace limpetdrum {

/// \brief Bounds how often this node sends requests for a service again.
///
/// Each node keeps to a share of the allowance of the fleet that needs no
/// agreement: a ratio of the requests that it has seen itself, and an equal
/// part of the fixed slack. A request that runs again makes its calls again,
/// and they count as repeats at the services below. So the routes that make
/// calls get a small share of the ratio, which may come back at each service
/// further down, and those that make none get most of it: a lost call is best
/// repeated where it was lost.
class RepeatBudget {
public:
  /// \brief Whether runs of a route make calls.
  enum class RouteKind : std::uint8_t { Inner, Leaf };

  /// \param Ratio of repeats to requests, over the fleet.
  /// \param Window in which the fleet's allowance is counted.
  /// \param Seed differs on each node.
  RepeatBudget(double Ratio, Milliseconds Window, std::uint64_t Seed)
      : Ratio(Ratio), Window(Window), Random(Seed) {}

  /// \param Value repeats in a window that this node may make besides.
  void setSlack(double Value) noexcept { this->Slack = Value; }
  void onRequest(const ServiceName &Service, RouteKind Of, TimePoint Now);
  /// \param Place of the request in the order of shedding, 0 to 1: it may take
  ///   what is above this share of the most that can be saved up. So while
  ///   repeats are scarce, those that earn get them, and of these the same
  ///   ones at each hop.
  /// \returns false if a repeat would go beyond the allowance.
  [[nodiscard]] bool take(const ServiceName &Service, RouteKind Of,
                          double Place, TimePoint Now);
  /// \brief A repeat that was taken has reached no target.
  void refund(const ServiceName &Service, RouteKind Of, TimePoint Now);

private:
  struct Bucket {
    double Tokens = 0;
    /// Of tokens, for the next repeat; drawn from 0 to 1. A node's share of the
    /// allowance may be less than one repeat: then some nodes make one, so that
    /// it is right in the mean, and not one each.
    double Needed = 1;
    double Recent = 0; ///< requests of the last seconds, fading
    TimePoint RefilledAt{};
  };
  [[nodiscard]] double most(const Bucket &Of, RouteKind Kind) const;
  /// \returns a number above 0 and up to 1.
  [[nodiscard]] double draw();
  Bucket &refilled(const ServiceName &Service, RouteKind Of, TimePoint Now);

  double Ratio;
  double Slack = 0;
  Milliseconds Window;
  std::mt19937_64 Random;
  std::map<std::pair<ServiceName, RouteKind>, Bucket> Buckets;
};

} // namespace limpetdrum

#endif
