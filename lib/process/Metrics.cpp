#include "limpetdrum/process/Metrics.h"

#include <boost/histogram.hpp>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <sstream>

namespace limpetdrum {

namespace {

namespace bh = boost::histogram;

constexpr std::size_t MaxOrganisations = 100;
constexpr unsigned LatencyBins = 48;
constexpr double MinLatencyMs = 0.1;
constexpr double MaxLatencyMs = 60'000;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using LatencyHistogram = decltype(bh::make_histogram(
    LogAxis(LatencyBins, MinLatencyMs, MaxLatencyMs)));

LatencyHistogram newHistogram() {
  return bh::make_histogram(LogAxis(LatencyBins, MinLatencyMs, MaxLatencyMs));
}

struct Series {
  LatencyHistogram Latency = newHistogram();
  double SumMs = 0;
  std::uint64_t Count = 0;
  std::map<std::string, std::uint64_t> Outcomes;
};

using SeriesKey = std::pair<std::string, std::string>; // organisation, class
using LabelKey = std::pair<std::string, std::string>;  // label name, value

prometheus::ClientMetric labelled(const SeriesKey &Key) {
  prometheus::ClientMetric Metric;
  Metric.label = {{"tenant", Key.first}, {"class", Key.second}};
  return Metric;
}

prometheus::MetricFamily family(const std::string &Name,
                                prometheus::MetricType Type) {
  prometheus::MetricFamily Result;
  Result.name = "limpetdrum_" + Name;
  Result.help = Name;
  Result.type = Type;
  return Result;
}

} // namespace

struct Metrics::State {
  std::map<std::string, std::map<LabelKey, std::uint64_t>> Counters;
  std::map<std::string, double> Gauges;
  std::map<SeriesKey, Series> Requests;
  std::map<std::string, bool> Organisations;

  /// Returns the organisation's label; `other` once there are MaxOrganisations.
  std::string boundedOrganisation(const Organisation &Id) {
    auto Name = Id.value().empty() ? "none" : Id.value();
    if (this->Organisations.count(Name) == 0 &&
        this->Organisations.size() >= MaxOrganisations)
      return "other";
    this->Organisations[Name] = true;
    return Name;
  }

  std::vector<prometheus::MetricFamily> families() const {
    std::vector<prometheus::MetricFamily> All;
    for (const auto &[Name, ByLabel] : this->Counters) {
      auto Family = family(Name + "_total", prometheus::MetricType::Counter);
      for (const auto &[Label, Value] : ByLabel) {
        prometheus::ClientMetric Metric;
        if (!Label.first.empty())
          Metric.label = {{Label.first, Label.second}};
        Metric.counter.value = static_cast<double>(Value);
        Family.metric.push_back(Metric);
      }
      All.push_back(Family);
    }
    for (const auto &[Name, Value] : this->Gauges) {
      auto Family = family(Name, prometheus::MetricType::Gauge);
      prometheus::ClientMetric Metric;
      Metric.gauge.value = Value;
      Family.metric.push_back(Metric);
      All.push_back(Family);
    }
    All.push_back(this->outcomes());
    All.push_back(this->latencies());
    return All;
  }

  prometheus::MetricFamily outcomes() const {
    auto Family = family("requests_total", prometheus::MetricType::Counter);
    for (const auto &[Key, S] : this->Requests)
      for (const auto &[Outcome, Count] : S.Outcomes) {
        auto Metric = labelled(Key);
        Metric.label.push_back({"outcome", Outcome});
        Metric.counter.value = static_cast<double>(Count);
        Family.metric.push_back(Metric);
      }
    return Family;
  }

  prometheus::MetricFamily latencies() const {
    auto Family =
        family("request_milliseconds", prometheus::MetricType::Histogram);
    for (const auto &[Key, S] : this->Requests) {
      auto Metric = labelled(Key);
      Metric.histogram.sample_count = S.Count;
      Metric.histogram.sample_sum = S.SumMs;
      double CumulativeCount = S.Latency.at(-1);
      for (int I = 0; I < static_cast<int>(LatencyBins); ++I) {
        CumulativeCount += S.Latency.at(I);
        prometheus::ClientMetric::Bucket Bucket;
        Bucket.cumulative_count = static_cast<std::uint64_t>(CumulativeCount);
        Bucket.upper_bound = S.Latency.axis().bin(I).upper();
        Metric.histogram.bucket.push_back(Bucket);
      }
      Family.metric.push_back(Metric);
    }
    return Family;
  }
};

Metrics::Metrics() : Impl(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::count(const std::string &Name, const std::string &LabelName,
                    const std::string &LabelValue, std::uint64_t Amount) {
  this->Impl->Counters[Name][{LabelName, LabelValue}] += Amount;
}

void Metrics::gauge(const std::string &Name, double Value) {
  this->Impl->Gauges[Name] = Value;
}

void Metrics::request(const limpetdrum::Organisation &Organisation,
                      const std::string &Class, const std::string &Outcome,
                      Microseconds Latency) {
  auto &S =
      this->Impl
          ->Requests[{this->Impl->boundedOrganisation(Organisation), Class}];
  double LatencyMs = static_cast<double>(Latency.count()) / 1000;
  S.Latency(LatencyMs);
  S.SumMs += LatencyMs;
  ++S.Count;
  ++S.Outcomes[Outcome];
}

std::string Metrics::text() const {
  std::ostringstream Out;
  prometheus::TextSerializer().Serialize(Out, this->Impl->families());
  return Out.str();
}

std::uint64_t Metrics::counter(const std::string &Name) const {
  auto Found = this->Impl->Counters.find(Name);
  if (Found == this->Impl->Counters.end())
    return 0;
  std::uint64_t Sum = 0;
  for (const auto &Entry : Found->second)
    Sum += Entry.second;
  return Sum;
}

std::map<std::string, double> Metrics::quantiles(double Share) const {
  std::map<std::string, double> Result;
  for (const auto &[Key, S] : this->Impl->Requests) {
    double TargetCount = Share * static_cast<double>(S.Count);
    double CumulativeCount = S.Latency.at(-1);
    int I = 0;
    for (;
         I < static_cast<int>(LatencyBins) - 1 && CumulativeCount < TargetCount;
         ++I)
      CumulativeCount += S.Latency.at(I);
    Result[Key.first + "/" + Key.second] =
        S.Latency.axis().bin(std::max(0, I - 1)).upper();
  }
  return Result;
}

} // namespace limpetdrum
