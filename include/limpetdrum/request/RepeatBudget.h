#ifndef LIMPETDRUM_REQUEST_REPEATBUDGET_H
#define LIMPETDRUM_REQUEST_REPEATBUDGET_H

#include "limpetdrum/process/Types.h"

#include <map>
#include <random>

namespace limpetdrum {

/// \brief Bounds how often this node repeats the requests for a service.
///
/// Each node keeps to a share of the fleet's allowance that needs no
/// coordination: a ratio of the requests that it has received itself, and an
/// equal part of the fixed slack. A request that runs again makes its calls
/// again, and these count as repeats at the services below. Therefore routes
/// that make calls get a small share of the ratio, which can be added at each
/// service further down, and routes that make none get most of it: a lost call
/// is best repeated at the hop where it was lost.
class RepeatBudget {
public:
  /// \brief Kind of a route: Inner if its runs make calls, Leaf if not.
  enum class RouteKind : std::uint8_t { Inner, Leaf };

  /// \param Ratio of repeats to requests, over the fleet.
  /// \param Window in which the fleet's allowance is counted.
  /// \param Seed seed of the random numbers; differs on each node.
  RepeatBudget(double Ratio, Milliseconds Window, std::uint64_t Seed)
      : Ratio(Ratio), Window(Window), Random(Seed) {}

  /// \param Value additional repeats in a window that this node may make.
  void setSlack(double Value) noexcept { this->Slack = Value; }
  /// \brief Records a request, which earns a fraction of a repeat.
  void onRequest(const ServiceName &Service, RouteKind Kind, TimePoint Now);
  /// \brief Spends one repeat.
  /// \param Position normalized position of the request in the order of
  ///   shedding, 0 to 1. The request may spend only the tokens above this share
  ///   of the capacity. While repeats are scarce, they go to the requests that
  ///   are shed last, and to the same ones at each hop.
  /// \returns false if a repeat would exceed the allowance.
  [[nodiscard]] bool take(const ServiceName &Service, RouteKind Kind,
                          double Position, TimePoint Now);
  /// \brief Returns a spent repeat to the budget if it reached no target.
  void refund(const ServiceName &Service, RouteKind Kind, TimePoint Now);

private:
  struct Bucket {
    double Tokens = 0;
    /// Tokens required for the next repeat, drawn from (0, 1]. A node's share
    /// of the allowance may be less than one repeat. With a random requirement
    /// some nodes then make one repeat and others none, so that the sum over
    /// the fleet is right on average, instead of one repeat at every node.
    double RequiredTokens = 1;
    double RecentRequests = 0; ///< decays exponentially
    TimePoint RefilledAt{};
  };
  /// \brief Returns the largest number of tokens that a bucket may hold.
  [[nodiscard]] double capacity(const Bucket &Entry, RouteKind Kind) const;
  /// \returns a random number in (0, 1].
  [[nodiscard]] double drawRequiredTokens();
  /// \brief Refills a bucket up to the given time; creates a missing one.
  Bucket &refill(const ServiceName &Service, RouteKind Kind, TimePoint Now);

  double Ratio;
  double Slack = 0;
  Milliseconds Window;
  std::mt19937_64 Random;
  std::map<std::pair<ServiceName, RouteKind>, Bucket> Buckets;
};

} // namespace limpetdrum

#endif
