#ifndef LIMPETDRUM_PROCESS_METRICS_H
#define LIMPETDRUM_PROCESS_METRICS_H

#include "limpetdrum/process/Types.h"

#include <map>
#include <memory>
#include <string>

namespace limpetdrum {

/// \brief Counters, gauges, and a latency histogram for each tenant and class.
///
/// Tenants beyond a bound are counted as `other`.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// \param Labels such as `reason="overload"`; the empty text for none.
  void count(const std::string &Name, const std::string &LabelName = "",
             const std::string &LabelValue = "", std::uint64_t Amount = 1);
  void gauge(const std::string &Name, double Value);
  /// \brief One request of a tenant and class has ended at its entry.
  void request(const Tenant &Owner, const std::string &Class,
               const std::string &Outcome, Microseconds Latency);

  /// \brief All of it in the Prometheus text format.
  [[nodiscard]] std::string text() const;
  /// \brief A counter's value; 0 if it was never counted.
  [[nodiscard]] std::uint64_t counter(const std::string &Name) const;
  /// \brief The latency below which a share of a class's requests ended.
  /// \returns milliseconds by tenant and class, for the status page.
  [[nodiscard]] std::map<std::string, double> quantiles(double Share) const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace limpetdrum

#endif
