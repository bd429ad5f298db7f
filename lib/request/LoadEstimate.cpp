#include "limpetdrum/request/LoadEstimate.h"

#include <algorithm>

namespace limpetdrum {

namespace {

void addScaled(ServiceLoad &Sum, const ServiceLoad &Load, double Factor) {
  Sum.Limit += Load.Limit * Factor;
  Sum.Running += Load.Running * Factor;
  Sum.Queued += Load.Queued * Factor;
  Sum.QueuedWork += Load.QueuedWork * Factor;
}

double ratio(std::size_t Numerator, std::size_t Denominator) {
  return static_cast<double>(Numerator) / static_cast<double>(Denominator);
}

} // namespace

void LoadEstimate::addMember(const ServiceName &Service,
                             const FailureDomain &Domain) {
  ++this->Services[Service][Domain].Members;
}

void LoadEstimate::addSample(const ServiceName &Service,
                             const FailureDomain &Domain,
                             const NodeStatus &Status, bool IsServing) {
  auto &Load = this->Services[Service][Domain];
  ++Load.Samples;
  if (!IsServing)
    return;
  Load.Sum.Limit += Status.Limit;
  Load.Sum.Running += Status.Running;
  Load.Sum.Queued += Status.Queued;
  Load.Sum.QueuedWork +=
      Status.Queued * std::chrono::duration<double>(Status.ServiceTime).count();
}

std::map<ServiceName, ServiceLoad> LoadEstimate::total() const {
  std::map<ServiceName, ServiceLoad> Result;
  for (const auto &[Service, Domains] : this->Services) {
    ServiceLoad Sampled;
    std::size_t Samples = 0;
    std::size_t UnsampledMembers = 0;
    auto &Sum = Result[Service];
    for (const auto &[Domain, Load] : Domains) {
      if (Load.Samples == 0) {
        UnsampledMembers += Load.Members;
        continue;
      }
      addScaled(Sum, Load.Sum,
                ratio(std::max(Load.Members, Load.Samples), Load.Samples));
      addScaled(Sampled, Load.Sum, 1);
      Samples += Load.Samples;
    }
    if (Samples == 0)
      Result.erase(Service);
    else if (UnsampledMembers > 0)
      addScaled(Sum, Sampled, ratio(UnsampledMembers, Samples));
  }
  return Result;
}

} // namespace limpetdrum
