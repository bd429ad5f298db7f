#include "limpetdrum/daemon/calls/TargetCheck.h"

#include <algorithm>

namespace limpetdrum {

namespace {

constexpr Milliseconds AnswerTimeout{500};

} // namespace

TargetCheck::TargetCheck(ServiceName Service, HeaderNames Names,
                         TargetPort &Port, LocalTarget &Target, EventLog &Log,
                         Metrics &Counters)
    : Service(std::move(Service)), Names(std::move(Names)), Port(Port),
      Target(Target), Log(Log), Counters(Counters) {}

void TargetCheck::run(const TrafficPolicy &Policy) {
  const auto *ServicePolicy = Policy.service(this->Service);
  if (ServicePolicy == nullptr || !this->Target.record().Id.empty())
    return;
  HttpCall Check;
  Check.Path = ServicePolicy->HealthPath;
  Check.Timeout = AnswerTimeout;
  this->Counters.count("target_status_checks");
  (void)this->Port.send(
      Check, [this](const HttpResponse &Answer) { this->onAnswer(Answer); });
}

void TargetCheck::onAnswer(const HttpResponse &Answer) {
  auto Id = Answer.header(this->Names.TargetId);
  bool IsHealthy = Answer.Outcome == HttpOutcome::Answered &&
                   Answer.Status == 200 && !Id.empty();
  this->Log.state(
      "target_checked",
      {{"status", Answer.Status}, {"target", Id}, {"healthy", IsHealthy}});
  if (!IsHealthy)
    return;
  auto Load = Answer.header(this->Names.TargetLoad);
  auto Slots = std::strtoul(
      Load.substr(std::min(Load.size(), Load.rfind(',') + 1)).c_str(), nullptr,
      10);
  constexpr unsigned long MaxSlots = 65'535;
  this->Target.onStatusCheck(Id, this->Service,
                             limpetdrum::Slots(static_cast<std::uint16_t>(
                                 std::clamp(Slots, 1UL, MaxSlots))));
}

} // namespace limpetdrum
