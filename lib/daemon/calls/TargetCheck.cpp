#include "limpetdrum/daemon/calls/TargetCheck.h"

namespace limpetdrum {

namespace {

constexpr Milliseconds AnswerTimeout{500};
/// A target that does not state its slots reports them within seconds.
constexpr Slots UnstatedSlots{1};

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
  auto Load = this->Target.readLoad(Answer);
  this->Target.onStatusCheck(Id, this->Service,
                             Load ? Load->Slots : UnstatedSlots);
}

} // namespace limpetdrum
