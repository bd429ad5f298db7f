#include "LoadGenerator.h"

#include "limpetdrum/daemon/Executor.h"

#include <algorithm>

namespace limpetdrum::bench {

LoadGenerator::LoadGenerator(EventLoop &Loop, std::uint64_t Seed)
    : Loop(Loop), Random(Seed), Seed(Seed), StartTime(Loop.now()) {}

void LoadGenerator::setEntries(const std::string &Path,
                               std::vector<Endpoint> Entries) {
  this->Entries[Path] = std::move(Entries);
}

HttpClient &LoadGenerator::client(Endpoint Server) {
  auto &Client = this->Clients[toString(Server)];
  if (!Client)
    Client = std::make_unique<HttpClient>(this->Loop, Server);
  return *Client;
}

std::int64_t LoadGenerator::currentTenth() const {
  constexpr Milliseconds Tenth{100};
  return (this->Loop.now() - this->StartTime) / Tenth;
}

void LoadGenerator::start(const StreamSpec &Spec) {
  this->Stopped = false;
  this->Streams.push_back(std::make_unique<StreamSpec>(Spec));
  this->scheduleNext(*this->Streams.back());
}

void LoadGenerator::stop() {
  this->Stopped = true;
  this->Arrivals.clear();
}

void LoadGenerator::scheduleNext(const StreamSpec &Spec) {
  // Arrivals follow the schedule rather than the timer, which rounds up and
  // would lower the rate.
  auto &Next = this->NextArrival[&Spec];
  auto Now = this->Loop.now();
  if (Next == TimePoint())
    Next = Now;
  while (Next <= Now) {
    this->startRequest(Spec);
    std::exponential_distribution<double> Gap(Spec.Rate * this->Surge);
    Next += Microseconds(static_cast<std::int64_t>(Gap(this->Random) * 1e6));
  }
  this->Arrivals[&Spec] = this->Loop.after(Next - Now, [this, &Spec]() {
    if (!this->Stopped)
      this->scheduleNext(Spec);
  });
}

void LoadGenerator::repeat(const std::string &Stream,
                           const std::string &NewName) {
  auto Original = std::find_if(
      this->Streams.begin(), this->Streams.end(),
      [&Stream](const auto &Spec) { return Spec->Name == Stream; });
  if (Original == this->Streams.end())
    return;
  this->Streams.push_back(std::make_unique<StreamSpec>(**Original));
  auto &Repeated = *this->Streams.back();
  Repeated.Name = NewName;
  for (auto Number : this->AnsweredNumbers[Stream])
    this->startRequest(Repeated, Number);
}

void LoadGenerator::startRequest(const StreamSpec &Spec) {
  this->startRequest(Spec, ++this->LastNumber);
}

void LoadGenerator::startRequest(const StreamSpec &Spec, std::uint64_t Number) {
  auto R = std::make_shared<Request>();
  R->Spec = &Spec;
  R->Number = Number;
  R->Start = this->Loop.now();
  R->TriesLeft = Spec.Tries;
  ++this->OpenRequests;
  auto &Result = this->Results[Spec.Name];
  ++Result.Started;
  ++Result.StartedByTenth[this->currentTenth()];
  this->attempt(R);
}

std::string LoadGenerator::keyOf(const Request &R) const {
  return std::to_string(this->Seed) + "-" + std::to_string(R.Number);
}

void LoadGenerator::attempt(const RequestPtr &R) {
  --R->TriesLeft;
  ++this->Results[R->Spec->Name].Tries;
  const auto &Servers = this->Entries[R->Spec->Path];
  HttpCall Call;
  Call.Method = "POST";
  Call.Path = R->Spec->Path;
  Call.Body = "request " + this->keyOf(*R) + ";";
  Call.Timeout = R->Spec->Timeout;
  if (R->Spec->Keyed)
    Call.Headers.emplace_back(header::IdempotencyKey, this->keyOf(*R));
  if (!R->Spec->Organisation.empty())
    Call.Headers.emplace_back(header::Organisation, R->Spec->Organisation);
  this->client(Servers[this->Random() % Servers.size()])
      .send(Call, [this, R](const HttpResponse &Answer) {
        this->onAnswer(R, Answer);
      });
}

void LoadGenerator::onAnswer(const RequestPtr &R, const HttpResponse &Answer) {
  auto &Result = this->Results[R->Spec->Name];
  bool IsSuccess =
      Answer.Outcome == HttpOutcome::Answered && Answer.Status == 200;
  if (IsSuccess) {
    auto Expected = "request " + this->keyOf(*R) + ";";
    constexpr std::size_t AnswerBytes = 200;
    bool IsCorrect =
        Answer.Body.text().compare(0, Expected.size(), Expected) == 0 &&
        Answer.Body.size() == AnswerBytes;
    if (!IsCorrect)
      ++Result.WrongAnswers;
    this->finish(R, IsCorrect);
    return;
  }
  auto Outcome = Answer.header(header::Outcome);
  auto Reason = Answer.header(header::Reason);
  if (Outcome != "not-run")
    R->AllNotRun = false;
  auto Failure = Outcome.empty() ? "no answer" : Outcome + " " + Reason;
  ++Result.Refusals[Failure];
  auto Elapsed =
      std::chrono::duration_cast<Milliseconds>(this->Loop.now() - R->Start);
  R->FailedTries += "; " + std::to_string(Elapsed.count()) + " ms " + Failure +
                    " " + std::to_string(Answer.Status);
  if (R->TriesLeft == 0) {
    this->finish(R, false);
    return;
  }
  auto Pause = R->Spec->RetryPause;
  auto RetryAfter = Answer.header(header::RetryAfterMillis);
  if (R->Spec->HonorsRetryAfter && !RetryAfter.empty())
    Pause = Milliseconds(std::stoul(RetryAfter));
  std::uniform_real_distribution<double> Spread(0.5, 1.5);
  R->Pause = this->Loop.after(
      Microseconds(static_cast<std::int64_t>(
          static_cast<double>(Pause.count()) * 1000 * Spread(this->Random))),
      [this, R]() { this->attempt(R); });
}

void LoadGenerator::finish(const RequestPtr &R, bool Completed) {
  --this->OpenRequests;
  auto &Result = this->Results[R->Spec->Name];
  auto Run = R->Spec->Path + " " + this->keyOf(*R);
  if (Completed) {
    ++Result.Completed;
    std::chrono::duration<double, std::milli> Latency =
        this->Loop.now() - R->Start;
    Result.LatencyMillis.push_back(Latency.count());
    if (Latency <= MaxUsefulLatency)
      ++Result.OnTimeByTenth[this->currentTenth()];
    if (R->Spec->Keyed) {
      this->Answered.insert(Run);
      this->AnsweredNumbers[R->Spec->Name].push_back(R->Number);
    }
    return;
  }
  ++Result.Failed;
  if (Result.FailedRequests.size() < MaxFailedRequests)
    Result.FailedRequests.push_back(Run + R->FailedTries);
  if (R->Spec->Keyed && R->AllNotRun)
    this->ReportedNotRun.insert(Run);
}

} // namespace limpetdrum::bench
