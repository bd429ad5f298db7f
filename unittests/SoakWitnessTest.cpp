#include "Witness.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;
using namespace limpetdrum::soak;

namespace {

TimePoint at(int Millis) { return TimePoint() + Milliseconds(Millis); }

/// \brief A history of two nodes: clients send requests to the first, and the
///   target of the second runs them.
struct History {
  Witness Observations;

  explicit History(Witness Empty = Witness({}, {"a", "b"}))
      : Observations(std::move(Empty)) {
    this->Observations.AllowedServices = {{"/order/", {"b"}},
                                          {"/move/", {"a", "b"}}};
    this->Observations.ReassignedRoute = "/move/";
    this->Observations.PolicyVersions = {{"a", at(0)}};
    this->Observations.Starts = {{0, {at(0)}}, {1, {at(0)}}};
  }

  RequestRecord &addRequest(const std::string &Id, const std::string &Route,
                            int Sent) {
    RequestRecord Request;
    Request.Id = Id;
    Request.Route = Route;
    Request.Idempotent = Route != "/order/";
    Request.Sent = at(Sent);
    Request.Deadline = at(Sent + 2000);
    Request.Ended = at(Sent + 50);
    Request.Status = 200;
    return this->Observations.Requests[Id] = Request;
  }

  RunRecord &addRun(const std::string &Id, int Started,
                    const std::string &Target = "t1") {
    RunRecord Run;
    Run.Id = Id;
    Run.Node = 1;
    Run.Target = Target;
    Run.Service = "b";
    Run.CallerService = "a";
    Run.Route = this->Observations.Requests.count(Id) != 0
                    ? this->Observations.Requests[Id].Route
                    : "/order/";
    Run.Started = at(Started);
    Run.Ended = at(Started + 20);
    this->Observations.Runs.push_back(Run);
    return this->Observations.Runs.back();
  }

  void addDisturbance(std::optional<std::size_t> Node, Disturbance::Kind Cause,
                      int Start, int End) {
    this->Observations.Disturbances.push_back(
        {Node, Cause, at(Start), at(End)});
  }

  [[nodiscard]] std::vector<std::string> brokenPromises() const {
    std::vector<std::string> Names;
    for (const auto &Finding : this->Observations.check(at(100'000)))
      Names.push_back(Finding.Promise);
    return Names;
  }
};

using Names = std::vector<std::string>;

} // namespace

TEST_CASE("Witness reports nothing for a history that keeps all promises") {
  History Scenario;
  Scenario.addRequest("q1", "/order/", 10'000);
  Scenario.addRun("q1", 10'010);
  CHECK(Scenario.brokenPromises().empty());
}

TEST_CASE("Witness reports runs that are not allowed") {
  History Scenario;
  auto &Request = Scenario.addRequest("q1", "/order/", 10'000);
  SECTION("a request that is not idempotent runs twice") {
    Scenario.addRun("q1", 10'010);
    Scenario.addRun("q1", 10'400, "t2");
    CHECK(Scenario.brokenPromises() == Names{"at most once"});
  }
  SECTION("one target rejects the request and another runs it") {
    Scenario.addRun("q1", 10'010).Executed = false;
    Scenario.addRun("q1", 10'400, "t2");
    CHECK(Scenario.brokenPromises().empty());
  }
  SECTION("a request runs although its answer says that it did not") {
    Request.Status = 503;
    Scenario.addRun("q1", 10'010);
    CHECK(Scenario.brokenPromises() == Names{"not run means not run"});
  }
  SECTION("a run without a request") {
    Scenario.addRun("q9", 10'010);
    CHECK(Scenario.brokenPromises() ==
          Names{"nothing runs that was not asked for"});
  }
  SECTION("the request changed in transit") {
    Scenario.addRun("q1", 10'010).Intact = false;
    CHECK(Scenario.brokenPromises() ==
          Names{"nothing runs that was not asked for"});
  }
  SECTION("the caller's service is wrong") {
    Scenario.addRun("q1", 10'010).CallerService = "b";
    CHECK(Scenario.brokenPromises() ==
          Names{"the caller's service is told truly"});
  }
  SECTION("the service does not belong to the route") {
    auto &Run = Scenario.addRun("q1", 10'010);
    Run.Service = "c";
    CHECK(Scenario.brokenPromises() ==
          Names{"only services of the route run a request"});
  }
}

TEST_CASE("Witness reports answers that do not match their request") {
  History Scenario;
  Scenario.addRequest("q1", "/order/", 10'000).AnswerMatches = false;
  CHECK(Scenario.brokenPromises() ==
        Names{"an answer is whole and the request's own"});
}

TEST_CASE("Witness reports new work for a target that is leaving") {
  History Scenario;
  Scenario.addRequest("q1", "/order/", 10'000);
  Scenario.Observations.LeaveAcks["t1"] = at(8'000);
  auto &Run = Scenario.addRun("q1", 10'010);
  SECTION("the nodes are undisturbed") {
    CHECK(Scenario.brokenPromises() ==
          Names{"no new work for a target that leaves"});
  }
  SECTION("the drain timeout has not passed") {
    Run.Started = at(9'990);
    CHECK(Scenario.brokenPromises().empty());
  }
  SECTION("the node was disturbed within the contact window") {
    Scenario.addDisturbance(1, Disturbance::Kind::Unplanned, 7'500, 7'600);
    CHECK(Scenario.brokenPromises().empty());
  }
}

TEST_CASE("Witness reports connections that a graceful stop cuts") {
  History Scenario;
  auto &Request = Scenario.addRequest("q1", "/order/", 10'000);
  Request.ConnectionLost = true;
  Request.Status = 0;
  Scenario.addDisturbance(0, Disturbance::Kind::Planned, 9'900, 16'400);
  SECTION("the request reached a target") {
    Scenario.addRun("q1", 10'010);
    CHECK(Scenario.brokenPromises() == Names{"a graceful stop cuts nothing"});
  }
  SECTION("the request never reached a target") {
    CHECK(Scenario.brokenPromises().empty());
  }
  SECTION("the node was also killed") {
    Scenario.addRun("q1", 10'010);
    Scenario.addDisturbance(0, Disturbance::Kind::Unplanned, 10'020, 10'030);
    CHECK(Scenario.brokenPromises().empty());
  }
}

TEST_CASE("Witness reports lost connections on undisturbed nodes above the "
          "tolerated number") {
  History Scenario;
  for (int I = 0; I < 4; ++I) {
    auto Id = "q" + std::to_string(I);
    auto &Request = Scenario.addRequest(Id, "/order/", 10'000 + I);
    Request.ConnectionLost = true;
    Scenario.addRun(Id, 10'010 + I);
  }
  CHECK(Scenario.brokenPromises() ==
        Names{"no request is passed on and then cut"});
}

TEST_CASE("Witness reports policy versions that apply late or regress") {
  History Scenario;
  Scenario.Observations.PolicyVersions = {
      {"a", at(0)}, {"b", at(20'000)}, {"c", at(40'000)}};
  Scenario.Observations.AllowedServices["/move/"].insert("c");
  SECTION("a superseded version is used after the bound") {
    Scenario.addRequest("q1", "/move/", 42'100);
    Scenario.addRun("q1", 42'110); // runs at b, which c replaced at 40'000
    CHECK(Scenario.brokenPromises() == Names{"a version is in force in time"});
  }
  SECTION("a superseded version is used within the bound") {
    Scenario.addRequest("q1", "/move/", 41'900);
    Scenario.addRun("q1", 41'910);
    CHECK(Scenario.brokenPromises().empty());
  }
  SECTION("the bound is extended after a store failure") {
    Scenario.addDisturbance(std::nullopt, Disturbance::Kind::Store, 35'000,
                            39'000);
    Scenario.addRequest("q1", "/move/", 42'100);
    Scenario.addRun("q1", 42'110);
    CHECK(Scenario.brokenPromises().empty());
  }
  SECTION("an older version is used after a newer one") {
    Scenario.addRequest("q1", "/move/", 40'100);
    Scenario.addRun("q1", 40'110).Service = "c";
    Scenario.addDisturbance(0, Disturbance::Kind::Unplanned, 42'000, 42'100);
    Scenario.addRequest("q2", "/move/", 42'500);
    Scenario.addRun("q2", 42'510);
    CHECK(Scenario.brokenPromises() == Names{"never an older version"});
  }
  SECTION("an older version is used by a restarted process") {
    Scenario.Observations.Starts[0].push_back(at(42'200));
    Scenario.addRequest("q1", "/move/", 40'100);
    Scenario.addRun("q1", 40'110).Service = "c";
    Scenario.addDisturbance(0, Disturbance::Kind::Unplanned, 42'000, 42'200);
    Scenario.addRequest("q2", "/move/", 42'500);
    Scenario.addRun("q2", 42'510);
    CHECK(Scenario.brokenPromises().empty());
  }
}

TEST_CASE("Witness reports repeats above the budget") {
  History Scenario;
  unsigned Repeats = GENERATE(30, 31);
  // The budget allows a fifth of 50 requests and a slack of 20.
  for (unsigned I = 0; I < 50; ++I) {
    auto Id = "q" + std::to_string(I);
    Scenario.addRequest(Id, "/move/", 10'000);
    Scenario.addRun(Id, 10'010).Service = "a";
    if (I < Repeats)
      Scenario.addRun(Id, 10'020, "t2").Service = "a";
  }
  CHECK(Scenario.brokenPromises() ==
        (Repeats > 30 ? Names{"bounded repeats"} : Names{}));
}

TEST_CASE("Witness reports answers that come after the timeout") {
  History Scenario;
  for (int I = 0; I < 8; ++I)
    Scenario.addRequest("q" + std::to_string(I), "/move/", 10'000).Ended =
        at(I < 5 ? 12'600 : 12'100);
  CHECK(Scenario.brokenPromises() == Names{"a final answer at the timeout"});
}

TEST_CASE("Witness reports work for clients that have disconnected") {
  History Scenario;
  SECTION("runs continue after the client disconnects") {
    for (int I = 0; I < 8; ++I) {
      auto Id = "q" + std::to_string(I);
      Scenario.addRequest(Id, "/move/", 10'000).Abandoned = at(10'100);
      auto &Run = Scenario.addRun(Id, 10'010);
      Run.Service = "a";
      Run.ExpectedEnd = at(12'000);
      Run.Ended = at(I < 3 ? 10'700 : 10'300);
    }
    CHECK(Scenario.brokenPromises() ==
          Names{"work for a client that has left ends"});
  }
  SECTION("runs start after the client disconnects") {
    for (int I = 0; I < 4; ++I) {
      auto Id = "q" + std::to_string(I);
      Scenario.addRequest(Id, "/move/", 10'000).Abandoned = at(10'100);
      Scenario.addRun(Id, 10'700).Service = "a";
    }
    CHECK(Scenario.brokenPromises() ==
          Names{"nothing is passed on for a client that has left"});
  }
}

TEST_CASE("Witness finds more requests than a target's named rate allows") {
  History H;
  auto LastArrival = GENERATE(6000, 13000);
  H.Observations.Notices.push_back({"t1", 1.0, at(0), {}, {{0, at(100)}}});
  // Eleven are allowed in 4 s; twelve come.
  constexpr int Count = 12;
  for (int I = 0; I < Count; ++I) {
    auto Id = "r" + std::to_string(I);
    auto Arrival = 4000 + (LastArrival - 4000) * I / (Count - 1);
    H.addRequest(Id, "/order/", Arrival);
    H.addRun(Id, Arrival);
  }
  bool IsBroken = LastArrival == 6000;
  SECTION("undisturbed") {
    CHECK(H.Observations.check(at(20000)).size() == (IsBroken ? 1 : 0));
  }
  SECTION("the entry was restarted after it was told") {
    H.addDisturbance(0, Disturbance::Kind::Unplanned, 4500, 4600);
    CHECK(H.Observations.check(at(20000)).empty());
  }
  SECTION("the entry was never told") {
    H.Observations.Notices[0].Told.clear();
    CHECK(H.Observations.check(at(20000)).empty());
  }
  SECTION("the target no longer names a rate") {
    H.Observations.Notices[0].Ended = at(3900);
    CHECK(H.Observations.check(at(20000)).empty());
  }
}

TEST_CASE("Witness finds a request to a target that says it leaves") {
  History H;
  H.Observations.Notices.push_back({"t1", {}, at(0), {}, {{0, at(100)}}});
  auto Sent = GENERATE(2000, 2200);
  H.addRequest("r", "/order/", Sent);
  H.addRun("r", 2400);
  CHECK(H.Observations.check(at(20000)).size() == (Sent > 2100 ? 1 : 0));
}

TEST_CASE("Witness detects a crashing request that is sent on and on") {
  History Seen;
  auto AddCrash = [&Seen](const std::string &Id, int Started) {
    auto &Request = Seen.addRequest(Id, "/move/", Started);
    Request.Content = "crash-1";
    Request.CrashesTargets = true;
    auto &Run = Seen.addRun(Id, Started, "t" + Id);
    Run.Service = "a";
    Run.CrashedAt = at(Started + 20);
  };
  for (int I = 0; I < 3; ++I)
    AddCrash(std::to_string(I), 1000 + I);
  // Sends within the contact window, and three more.
  for (int I = 3; I < 6; ++I)
    AddCrash(std::to_string(I), 4000 + I);
  for (int I = 6; I < 9; ++I)
    AddCrash(std::to_string(I), 4100 + I);
  CHECK(Seen.Observations.check(at(9000)).empty());
  AddCrash("9", 5000);
  auto Findings = Seen.Observations.check(at(9000));
  REQUIRE(Findings.size() == 1);
  CHECK(Findings[0].Promise ==
        "a request that crashes targets is kept from them");
}

TEST_CASE("Witness detects a sound request that is taken for a crashing one") {
  History Seen;
  Seen.addRequest("1", "/move/", 1000).RefusedAsCrashing = true;
  CHECK(Seen.Observations.check(at(9000)).size() == 1);
  Seen.Observations.Requests["1"].CrashesTargets = true;
  CHECK(Seen.Observations.check(at(9000)).empty());
}

TEST_CASE("Witness reports a false organisation") {
  History Scenario;
  Scenario.Observations.Keys["k1"] = {"acme", {}, {}};
  auto &Request = Scenario.addRequest("q1", "/order/", 10'000);
  Request.Key = "k1";
  auto &Run = Scenario.addRun("q1", 10'010);
  Run.Organisation = "acme";
  const Names False{"the organisation is told truly"};
  SECTION("the organisation is the key's") {
    CHECK(Scenario.brokenPromises().empty());
  }
  SECTION("a target is told another one") {
    Run.Organisation = "forged";
    CHECK(Scenario.brokenPromises() == False);
  }
  SECTION("a target is told none") {
    Run.Organisation = "";
    CHECK(Scenario.brokenPromises() == False);
  }
  SECTION("a target gets the key") {
    Run.HasKey = true;
    CHECK(Scenario.brokenPromises() == Names{"no target gets a key"});
  }
  SECTION("a call bears another organisation than its run") {
    auto &Call = Scenario.addRequest("q1.1", "/move/", 10'015);
    Call.IsCall = true;
    Call.Parent = "q1";
    auto &CallRun = Scenario.addRun("q1.1", 10'016);
    CallRun.Service = "a";
    CallRun.Organisation = "acme";
    CHECK(Scenario.brokenPromises().empty());
    CallRun.Organisation = "";
    CHECK(Scenario.brokenPromises() == False);
    Scenario.Observations.Requests["q1"].Status = 502;
    CHECK(Scenario.brokenPromises().empty());
  }
}

TEST_CASE("Witness reports keys that count too long or too late") {
  History Scenario;
  Scenario.Observations.Keys["k1"] = {"acme", {}, at(10'000)};
  Scenario.Observations.Keys["k2"] = {"acme", at(10'000), {}};
  Scenario.Observations.Keys["k3"] = {"acme", {}, {}};
  auto Send = [&](const char *Key, int Sent, bool Runs) {
    auto &Request = Scenario.addRequest("q1", "/order/", Sent);
    Request.Key = Key;
    if (Runs)
      Scenario.addRun("q1", Sent + 10).Organisation = "acme";
    else
      Request.Status = 401;
    return Scenario.brokenPromises();
  };
  const Names Late{"a removed key stops in time"};
  const Names Refused{"what the policy allows gets no 401"};
  SECTION("a removed key, at the bound") {
    CHECK(Send("k1", 12'000, true).empty());
  }
  SECTION("a removed key, after it") {
    CHECK(Send("k1", 12'001, true) == Late);
    Scenario.addDisturbance(0, Disturbance::Kind::Unplanned, 11'000, 11'010);
    CHECK(Scenario.brokenPromises().empty());
  }
  SECTION("a removed key gets 401") { CHECK(Send("k1", 9'000, false).empty()); }
  SECTION("an added key, at the bound") {
    CHECK(Send("k2", 12'000, false).empty());
  }
  SECTION("an added key, after it") {
    CHECK(Send("k2", 12'001, false) == Refused);
    Scenario.addDisturbance(0, Disturbance::Kind::Store, 9'000, 9'100);
    CHECK(Scenario.brokenPromises().empty());
  }
  SECTION("a key of all versions gets 401") {
    Scenario.addDisturbance(0, Disturbance::Kind::Unplanned, 9'990, 10'000);
    CHECK(Send("k3", 10'000, false) == Refused);
  }
  SECTION("a key that never existed") {
    CHECK(Send("k9", 10'000, false).empty());
    Scenario.Observations.Requests["q1"].Status = 200;
    Scenario.addRun("q1", 10'010);
    CHECK(Scenario.brokenPromises() == Names{"an unknown key runs nothing"});
    Scenario.Observations.Requests["q1"].IsOpen = true;
    CHECK(Scenario.brokenPromises().empty());
  }
  SECTION("an open route gives 401") {
    CHECK(Send("k9", 10'000, false).empty());
    Scenario.Observations.Requests["q1"].IsOpen = true;
    CHECK(Scenario.brokenPromises() == Refused);
  }
}

TEST_CASE("Witness reports a node that is over its memory") {
  soak::Bounds Bounds;
  Bounds.MemoryBytes = 1000;
  History Scenario{Witness(Bounds, {"a", "b"})};
  Scenario.Observations.PeakMemory = {{0, 1000}, {1, 1000}};
  CHECK(Scenario.brokenPromises().empty());
  Scenario.Observations.PeakMemory[1] = 1001;
  CHECK(Scenario.brokenPromises() == Names{"a node stays within its memory"});
}

TEST_CASE("Witness reports requests that endless answers of others cost") {
  History Scenario;
  auto &Observations = Scenario.Observations;
  Observations.EndlessAnswers = {{"c", at(10'000), at(12'000)}};
  constexpr std::size_t Tolerated = 3;
  auto Send = [&](int Sent, std::size_t Count, const char *Route = "/order/") {
    for (std::size_t I = 0; I < Count; ++I)
      Scenario.addRequest("q" + std::to_string(I), Route, Sent).Status = 503;
    return Scenario.brokenPromises();
  };
  const Names Cost{"answers without end cost no requests to others"};
  SECTION("as many as are tolerated") {
    CHECK(Send(10'000, Tolerated).empty());
    CHECK(Observations.soundBesideEndless(at(100'000)).size() == Tolerated);
  }
  SECTION("one more, at both ends of the span") {
    CHECK(Send(10'000, Tolerated + 1) == Cost);
    CHECK(Send(12'000, Tolerated + 1) == Cost);
  }
  SECTION("before and after the span") {
    CHECK(Send(9'999, Tolerated + 1).empty());
    CHECK(Send(12'001, Tolerated + 1).empty());
  }
  SECTION("runs that make calls") {
    Observations.CallingRoutes = {"/order/"};
    CHECK(Send(10'000, Tolerated + 1).empty());
  }
  SECTION("the service itself did, a while before") {
    Observations.EndlessAnswers.push_back({"b", at(2'000), at(7'000)});
    CHECK(Send(10'000, Tolerated + 1).empty());
    CHECK(Send(10'001, Tolerated + 1) == Cost);
  }
  SECTION("another fault, before or within the timeout") {
    Observations.OtherFaults = {at(12'500)};
    CHECK(Send(10'000, Tolerated + 1).empty());
    Observations.OtherFaults = {at(12'501)};
    CHECK(Send(10'000, Tolerated + 1) == Cost);
  }
  SECTION("a disturbance of the entry, or of another node") {
    Scenario.addDisturbance(0, Disturbance::Kind::Unplanned, 8'000, 8'001);
    CHECK(Send(10'000, Tolerated + 1).empty());
    Observations.Disturbances[0].Node = 1;
    CHECK(Send(10'000, Tolerated + 1) == Cost);
  }
  SECTION("requests that were answered, refused for their key or abandoned") {
    Send(10'000, Tolerated + 1);
    Observations.Requests["q0"].Status = 401;
    Observations.Requests["q0"].IsOpen = true;
    CHECK(Scenario.brokenPromises().empty());
    Observations.Requests["q0"].Status = 503;
    Observations.Requests["q0"].Abandoned = at(10'100);
    CHECK(Scenario.brokenPromises().empty());
    Observations.Requests["q0"].Abandoned.reset();
    Observations.Requests["q0"].Status = 200;
    CHECK(Scenario.brokenPromises().empty());
  }
}
