#include "LoadGenerator.h"

#include "limpetdrum/daemon/Executor.h"

#include <algorithm>

namespace limpetdrum::bench {

LoadGenerator::LoadGenerator(EventLoop &Loop, std::uint64_t Seed)
    : Loop(Loop), Random(Seed), Seed(Seed), Began(Loop.now()) {}

void LoadGenerator::setEntries(const std::string &Path,
                               std::vector<Endpoint> Where) {
  this->Entries[Path] = std::move(Where);
}

HttpClient &LoadGenerator::client(Endpoint Where) {
  auto &Found = this->Clients[toString(Where)];
  if (!Found)
    Found = std::make_unique<HttpClient>(this->Loop, Where);
  return *Found;
}

std::int64_t LoadGenerator::tenth() const {
  constexpr Milliseconds Tenth{100};
  return (this->Loop.now() - this->Began) / Tenth;
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
  // By the schedule, not by the timer, which rounds up.
  auto &At = this->NextArrival[&Spec];
  auto Now = this->Loop.now();
  if (At == TimePoint())
    At = Now;
  while (At <= Now) {
    this->begin(Spec);
    std::exponential_distribution<double> Gap(Spec.Rate * this->Surge);
    At += Microseconds(static_cast<std::int64_t>(Gap(this->Random) * 1e6));
  }
  this->Arrivals[&Spec] = this->Loop.after(At - Now, [this, &Spec]() {
    if (!this->Stopped)
      this->scheduleNext(Spec);
  });
}

void LoadGenerator::repeat(const std::string &Stream, const std::string &As) {
  auto Found = std::find_if(
      this->Streams.begin(), this->Streams.end(),
      [&Stream](const auto &Spec) { return Spec->Name == Stream; });
  if (Found == this->Streams.end())
    return;
  this->Streams.push_back(std::make_unique<StreamSpec>(**Found));
  auto &Again = *this->Streams.back();
  Again.Name = As;
  for (auto Number : this->AnsweredNumbers[Stream])
    this->begin(Again, Number);
}

void LoadGenerator::begin(const StreamSpec &Spec) {
  this->begin(Spec, ++this->LastNumber);
}

void LoadGenerator::begin(const StreamSpec &Spec, std::uint64_t Number) {
  auto R = std::make_shared<Request>();
  R->Spec = &Spec;
  R->Number = Number;
  R->Start = this->Loop.now();
  R->TriesLeft = Spec.Tries;
  ++this->Open;
  auto &Result = this->Results[Spec.Name];
  ++Result.Started;
  ++Result.StartedAt[this->tenth()];
  this->attempt(R);
}

std::string LoadGenerator::keyOf(const Request &R) const {
  return std::to_string(this->Seed) + "-" + std::to_string(R.Number);
}

void LoadGenerator::attempt(const RequestPtr &R) {
  --R->TriesLeft;
  ++this->Results[R->Spec->Name].Tries;
  const auto &Where = this->Entries[R->Spec->Path];
  HttpCall Call;
  Call.Method = "POST";
  Call.Path = R->Spec->Path;
  Call.Body = "request " + this->keyOf(*R) + ";";
  Call.Timeout = R->Spec->Timeout;
  if (R->Spec->Keyed)
    Call.Headers.emplace_back(header::IdempotencyKey, this->keyOf(*R));
  if (!R->Spec->Tenant.empty())
    Call.Headers.emplace_back(header::Tenant, R->Spec->Tenant);
  this->client(Where[this->Random() % Where.size()])
      .send(Call, [this, R](const HttpResponse &Answer) {
        this->onAnswer(R, Answer);
      });
}

void LoadGenerator::onAnswer(const RequestPtr &R, const HttpResponse &Answer) {
  auto &Result = this->Results[R->Spec->Name];
  bool Whole = Answer.Outcome == HttpOutcome::Answered && Answer.Status == 200;
  if (Whole) {
    auto Expected = "request " + this->keyOf(*R) + ";";
    constexpr std::size_t AnswerBytes = 200;
    bool Own = Answer.Body.compare(0, Expected.size(), Expected) == 0 &&
               Answer.Body.size() == AnswerBytes;
    if (!Own)
      ++Result.WrongAnswers;
    this->finish(R, Own);
    return;
  }
  auto Said = Answer.header(header::Outcome);
  auto Why = Answer.header(header::Reason);
  if (Said != "not-run")
    R->OnlyNotRun = false;
  ++Result.Refusals[Said.empty() ? "no answer" : Said + " " + Why];
  if (R->TriesLeft == 0) {
    this->finish(R, false);
    return;
  }
  auto Pause = R->Spec->RetryPause;
  auto ComeBack = Answer.header(header::RetryAfterMillis);
  if (R->Spec->HeedsRetryAfter && !ComeBack.empty())
    Pause = Milliseconds(std::stoul(ComeBack));
  std::uniform_real_distribution<double> Spread(0.5, 1.5);
  R->Pause = this->Loop.after(
      Microseconds(static_cast<std::int64_t>(
          static_cast<double>(Pause.count()) * 1000 * Spread(this->Random))),
      [this, R]() { this->attempt(R); });
}

void LoadGenerator::finish(const RequestPtr &R, bool Completed) {
  --this->Open;
  auto &Result = this->Results[R->Spec->Name];
  auto Run = R->Spec->Path + " " + this->keyOf(*R);
  if (Completed) {
    ++Result.Completed;
    std::chrono::duration<double, std::milli> Latency =
        this->Loop.now() - R->Start;
    Result.LatencyMillis.push_back(Latency.count());
    if (Latency <= LateAfter)
      ++Result.OnTimeAt[this->tenth()];
    if (R->Spec->Keyed) {
      this->Answered.insert(Run);
      this->AnsweredNumbers[R->Spec->Name].push_back(R->Number);
    }
    return;
  }
  ++Result.GaveUp;
  if (R->Spec->Keyed && R->OnlyNotRun)
    this->NeverRun.insert(Run);
}

} // namespace limpetdrum::bench
