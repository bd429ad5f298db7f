#ifndef LIMPETDRUM_UNITTESTS_LOCALTARGETFIXTURE_H
#define LIMPETDRUM_UNITTESTS_LOCALTARGETFIXTURE_H

#include "FakeClock.h"
#include "MockPorts.h"
#include "limpetdrum/daemon/calls/LocalTarget.h"

#include <fcntl.h>

namespace limpetdrum::test {

/// \brief A local target with a mock connection, which records what is sent.
struct LocalTargetFixture {
  FakeClock Clock;
  Metrics Counters;
  EventLog Log{open("/dev/null", O_WRONLY)};
  MockTarget Port;
  CrashHistory Crashes;
  std::vector<CrashNews> News; ///< as announced to the fleet
  std::int64_t UnixTime = 5000;
  LocalTarget Target{{Milliseconds(1000), 1,
                      [this]() { return this->UnixTime; },
                      ServiceName("ordering")},
                     HeaderNames{},
                     Port,
                     Crashes,
                     Log,
                     Counters,
                     [this]() { return this->Clock.now(); }};
  std::vector<Reply> Replies;
  std::vector<HttpClient::Callback> SentCallbacks;
  std::vector<HttpCall> SentCalls;

  static LocalTarget::Report report(const std::string &Id, std::int64_t Started,
                                    std::uint64_t Sequence,
                                    TargetState State = TargetState::Ready,
                                    unsigned SlotCount = 10) {
    TargetRecord Record;
    Record.Id = Id;
    Record.Started = Started;
    Record.Sequence = Sequence;
    Record.Service = ServiceName("ordering");
    Record.Slots = Slots(static_cast<std::uint16_t>(SlotCount));
    Record.State = State;
    return {Record, Milliseconds(0)};
  }

  void execute(std::uint64_t Call, const std::string &TargetId = "t1",
               Milliseconds TimeLeft = Milliseconds(1000),
               const std::string &Path = "/orders/1") {
    MeshAttempt Attempt;
    Attempt.Call = Call;
    Attempt.RequestId = "r" + std::to_string(Call);
    Attempt.Request.Method = "POST";
    Attempt.Request.Target = Path;
    Attempt.TimeLeft = TimeLeft;
    Attempt.TargetId = TargetId;
    this->Target.execute(Incarnation(7), Attempt, [this](const Reply &Value) {
      this->Replies.push_back(Value);
    });
  }

  std::unique_ptr<trompeloeil::expectation> allowSends() {
    return NAMED_ALLOW_CALL(this->Port, send(trompeloeil::_, trompeloeil::_))
        .LR_SIDE_EFFECT(this->SentCalls.push_back(_1))
        .LR_SIDE_EFFECT(this->SentCallbacks.push_back(_2))
        .LR_RETURN(this->SentCallbacks.size());
  }
  std::unique_ptr<trompeloeil::expectation> SendExpectation =
      this->allowSends();
  std::unique_ptr<trompeloeil::expectation> allowEndChecks() {
    return NAMED_ALLOW_CALL(this->Port, checkEnded(trompeloeil::_))
        .LR_SIDE_EFFECT(this->EndChecks.push_back(_1));
  }
  std::unique_ptr<trompeloeil::expectation> CheckExpectation =
      this->allowEndChecks();
  std::vector<std::function<void(bool)>> EndChecks;

  LocalTargetFixture() {
    this->Target.setOnCrashNews(
        [this](const CrashNews &Value) { this->News.push_back(Value); });
  }

  /// Answers the pending checks whether the target's process has ended.
  void finishEndChecks(bool HasEnded) {
    for (auto &Done : std::exchange(this->EndChecks, {}))
      Done(HasEnded);
  }

  static HttpResponse answer(int Status, HttpHeaders Headers = {}) {
    HttpResponse Value;
    Value.Outcome = HttpOutcome::Answered;
    Value.Status = Status;
    Value.Headers = std::move(Headers);
    Value.Body = "body";
    return Value;
  }
};

} // namespace limpetdrum::test

#endif
