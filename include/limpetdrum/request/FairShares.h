#ifndef LIMPETDRUM_REQUEST_FAIRSHARES_H
#define LIMPETDRUM_REQUEST_FAIRSHARES_H

#include "limpetdrum/process/Types.h"

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

} // namespace limpetdrum

#endif
