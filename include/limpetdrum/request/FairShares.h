#ifndef LIMPETDRUM_REQUEST_FAIRSHARES_H
#define LIMPETDRUM_REQUEST_FAIRSHARES_H

#include "limpetdrum/process/Types.h"
#include "limpetdrum/request/OrganisationUse.h"
#include "limpetdrum/version/Organisations.h"

#include <unordered_map>
#include <vector>

namespace limpetdrum {

/// \brief Divides what can be admitted among organisations: max-min by weight.
///
/// Answers an organisation that asks for many times its share while a service
/// is short. Without shares, all organisations lose as large a part of their
/// requests as that one does. With them, each is admitted up to a level that is
/// the same for all by weight, so those that ask for less lose nothing.
/// Performs no I/O.
class FairShares {
public:
  /// \brief What an organisation asks for, in requests per second over the
  ///   fleet, and the weight of its share.
  struct Demand {
    limpetdrum::Organisation Organisation;
    double Asked = 0;
    double Weight = 1; ///< in any unit, the same for all
  };

  FairShares() = default;
  /// \param Known organisations whose demand is known.
  /// \param Others sum over all others, which are not told apart; has no name.
  ///   Entries that are not finite or not above 0 count as no demand.
  FairShares(const std::vector<Demand> &Known, const Demand &Others);

  /// \brief Returns true if no demand is known.
  [[nodiscard]] bool empty() const noexcept { return this->Sums.empty(); }
  /// \brief Returns the requests per second and unit of weight up to which
  ///   organisations are admitted.
  /// \param Share of all requests that can be admitted, 0 to 1.
  [[nodiscard]] double level(double Share) const;
  /// \brief Returns the share of an organisation's requests to admit, 0 to 1.
  /// \param Share of all requests that can be admitted, 0 to 1.
  /// \param Level result of level() for this share.
  [[nodiscard]] double share(const Organisation &Name, double Share,
                             double Level) const;

private:
  /// Sums over the organisations that ask for the least by weight.
  struct Sum {
    double Ratio = 0; ///< of demand to weight, of the last one
    double Asked = 0;
    double Weight = 0;
  };
  /// Returns what is admitted at a level, in requests per second.
  [[nodiscard]] double admitted(double Level, double Share) const;
  /// Returns the sums over the organisations with at most the given ratio.
  [[nodiscard]] Sum sumUpTo(double Ratio) const;

  std::unordered_map<Organisation, double> Ratios; ///< of demand to weight
  double OthersRatio = 0;
  std::vector<Sum> Sums; ///< by ratio, ascending
};

/// \brief Returns the shares of organisations that have an allowance, weighted
///   by its rate.
///
/// What exceeds an allowance is refused before, and counts as no demand here.
/// \param Uses demand over the fleet of the organisations for which it is
/// known. \param TotalAsked requests per second of all clients. \returns no
/// shares if no demand is known: all organisations are treated
///   alike.
[[nodiscard]] FairShares fairShares(const Organisations &InForce,
                                    const std::vector<OrganisationUse> &Uses,
                                    double TotalAsked);

} // namespace limpetdrum

#endif
