#ifndef LIMPETDRUM_REQUEST_ALLOWANCES_H
#define LIMPETDRUM_REQUEST_ALLOWANCES_H

#include "limpetdrum/request/OrganisationUse.h"
#include "limpetdrum/request/RecentRate.h"
#include "limpetdrum/version/Organisations.h"

#include <random>

namespace limpetdrum {

/// \brief The parts that this node holds of the allowances of organisations.
///
/// An allowance holds over all nodes together. Each node keeps an account that
/// is refilled with its part of the rate, and holds at most its part of the
/// burst. The part is the node's demand over the fleet's, both as last
/// reported, so the parts of all nodes add up to one. While the fleet asks for
/// less than the allowance, a node may overdraw its account: demand that has
/// just moved there, and clumps, are within the allowance. Once the fleet asks
/// for more, each node pays back first what it has overdrawn.
///
/// Holds state only of organisations that have an allowance and have sent
/// requests to this node lately.
class Allowances {
public:
  /// \param Seed seed of the random numbers; differs on each node.
  explicit Allowances(std::uint64_t Seed) : Random(Seed) {}

  /// \brief Sets the number of nodes; until then a part is unknown, and one
  ///   request of each organisation passes.
  void setFleetSize(std::size_t Nodes);
  /// \brief Applies changed allowances, and forgets organisations that the
  ///   policy does not name any more.
  void setPolicy(const Organisations &InForce, TimePoint Now);

  /// \brief Counts a request of a client, and takes it out of the allowance.
  /// \returns nothing if the request is within the allowance; otherwise the
  ///   time until there is room for this client, 0.25 to 15 s, spread over the
  ///   clients that wait.
  [[nodiscard]] std::optional<Milliseconds>
  take(const OrganisationPolicy &Organisation, TimePoint Now);
  /// \brief Gives a granted request back that was refused later and has not
  ///   run.
  void giveBack(const Organisation &Name, TimePoint Now);

  /// \brief Returns true if an organisation presses on its part here while its
  ///   demand differs from the reported one, so that a report should not wait.
  [[nodiscard]] bool needsReport(TimePoint Now) const;
  /// \brief Returns the demand at this node, by organisation.
  [[nodiscard]] std::vector<OrganisationUse> report(TimePoint Now);
  /// \brief Takes in the demand over the fleet.
  /// \param Uses of the organisations that ask for more than half of their
  ///   rate.
  /// \param Nodes number of nodes whose reports are in the sums. Sums that lack
  ///   nodes may raise a demand, but not lower it.
  void onFleetUse(const std::vector<OrganisationUse> &Uses, std::size_t Nodes,
                  TimePoint Now);

  /// \brief Returns the demand over the fleet of the organisations in the last
  ///   news; nothing if that is not fresh.
  [[nodiscard]] std::vector<OrganisationUse> fleetUses(TimePoint Now) const;

  /// \brief Inputs of the decision about an organisation's requests.
  struct View {
    double Level = 0;      ///< requests that the account holds
    double Part = 0;       ///< of the fleet's allowance, 0 to 1
    double FleetAsked = 0; ///< requests per second, as last heard
    /// Time since the news of the fleet's demand; none if there was none.
    std::optional<Milliseconds> NewsAge;
    bool IsBinding = false; ///< the fleet asks for more than the allowance
  };
  /// \returns nothing if there is no account of the organisation.
  [[nodiscard]] std::optional<View> view(const Organisation &Name,
                                         TimePoint Now) const;
  /// \brief Returns the number of organisations with an account here.
  [[nodiscard]] std::size_t size() const noexcept {
    return this->Accounts.size();
  }
  /// \brief Returns the number of organisations that ask for more than their
  ///   allowance, as far as this node knows.
  [[nodiscard]] std::size_t bindingCount() const;

private:
  struct Account {
    double RatePerSecond = 0; ///< of the whole allowance
    double Burst = 0;
    double Level = 0;
    /// Level that the next request needs while the allowance binds, drawn from
    /// (0, 1]. A part may be less than one request; with a random requirement
    /// the sum over the nodes is right on average.
    double Required = 1;
    RecentRate Asked;
    /// Demand in reports at least 250 ms apart, the latest first.
    std::array<std::pair<TimePoint, double>, 6> Reports{};
    double Part = 0; ///< of the fleet's allowance, as the last news showed
    /// The account was overdrawn, or refused, since the last report.
    bool IsPressed = false;
    double FleetAsked = 0; ///< requests per second, at least
    /// What an account of the whole fleet would hold.
    double FleetLevel = 0;
    bool IsBinding = false;
    TimePoint UpdatedAt{};
    TimePoint AskedAt{};
  };

  /// Opens an account, or brings it up to the given time.
  Account &open(const OrganisationPolicy &Organisation, TimePoint Now);
  /// Returns true if the fleet has room to spare, and this node no more demand
  /// than the other nodes know of.
  [[nodiscard]] static bool recovers(const Account &Entry, TimePoint Now);
  static void refill(Account &Entry, TimePoint Now, bool IsBlind);
  [[nodiscard]] bool isBlind(TimePoint Now) const;
  [[nodiscard]] double equalPart() const noexcept;
  /// Returns the requests by which an account may be overdrawn.
  [[nodiscard]] double credit(const Account &Entry, TimePoint Now) const;
  void updateFleet(const Organisation &Name, Account &Entry, Microseconds Since,
                   TimePoint Now);
  [[nodiscard]] Milliseconds retryDelay(const Account &Entry, double Needed);
  [[nodiscard]] double drawRequired();

  std::mt19937_64 Random;
  std::size_t FleetSize = 0; ///< 0: unknown
  std::unordered_map<Organisation, Account> Accounts;
  /// Demand over the fleet, of the organisations in the last news.
  std::unordered_map<Organisation, double> FleetUse;
  std::optional<TimePoint> NewsAt;
  std::size_t NodesCovered = 0; ///< by the last news
};

} // namespace limpetdrum

#endif
