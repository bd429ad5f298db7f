#ifndef LIMPETDRUM_PROCESS_METRICS_H
#define LIMPETDRUM_PROCESS_METRICS_H

#include "limpetdrum/process/Types.h"

#include <map>
#include <memory>
#include <string>

namespace limpetdrum {

/// \brief Counters, gauges, and a latency histogram for each organisation and
/// class.
///
/// Bounds the number of series: organisations after the first 100 are counted
/// as `other`.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// \brief Increments a counter.
  /// \param LabelName the name of a label, such as `reason`; empty for none.
  /// \param LabelValue the value of the label, such as `overload`.
  void count(const std::string &Name, const std::string &LabelName = "",
             const std::string &LabelValue = "", std::uint64_t Amount = 1);
  void gauge(const std::string &Name, double Value);
  /// \brief Records a request that has ended at its entry.
  void request(const limpetdrum::Organisation &Organisation,
               const std::string &Class, const std::string &Outcome,
               Microseconds Latency);

  /// \brief Returns all metrics in the Prometheus text format.
  [[nodiscard]] std::string text() const;
  /// \brief Returns the sum of a counter over its labels; 0 if there is none.
  [[nodiscard]] std::uint64_t counter(const std::string &Name) const;
  /// \brief Returns a latency quantile for each organisation and class, for the
  ///   status page.
  /// \param Share the quantile, from 0 to 1.
  /// \returns milliseconds by `organisation/class`.
  [[nodiscard]] std::map<std::string, double> quantiles(double Share) const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace limpetdrum

#endif
