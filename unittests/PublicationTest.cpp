#include "limpetdrum/version/Publication.h"

#include <catch2/catch.hpp>
#include <random>

using namespace limpetdrum;

namespace {

using End = Publication::Outcome;

std::string noteText(unsigned Against, const std::string &Class) {
  return "against: " + std::to_string(Against) +
         "\nadded:\n  classes: [{name: " + Class + ", importance: 1}]\n";
}

/// Holds one object that is changed by conditional updates. The tests decide
/// which of its answers are lost.
struct FakePlatform {
  std::optional<std::string> Text;
  std::uint64_t Version = 0;
  std::vector<std::string> History;

  std::string version() const {
    return this->Text ? std::to_string(this->Version) : "";
  }
  bool write(const Publication::Write &W) {
    if (W.Version != this->version())
      return false;
    this->Text = W.Text;
    ++this->Version;
    this->History.push_back(W.Text);
    return true;
  }
};

} // namespace

TEST_CASE("Publication is accepted by a single conditional update",
          "[publication]") {
  FakePlatform Platform;
  Publication P(parseReleaseNote(noteText(0, "order"), "note.yaml"));
  CHECK(P.start().Read);
  auto Step = P.onRead(Platform.Text, Platform.version());
  REQUIRE(Step.Write);
  REQUIRE(Platform.write(*Step.Write));
  auto Last = P.onWritten();
  REQUIRE(Last.Done);
  CHECK(Last.Done->Outcome == End::Accepted);
  CHECK(Last.Done->Revision == Revision(1));
}

TEST_CASE("Publication detects that a write without an answer took effect",
          "[publication]") {
  FakePlatform Platform;
  Publication P(parseReleaseNote(noteText(0, "order"), "note.yaml"));
  auto Step = P.onRead(Platform.Text, Platform.version());
  REQUIRE(Platform.write(*Step.Write));
  CHECK(P.onWriteLost().Read);
  auto Last = P.onRead(Platform.Text, Platform.version());
  REQUIRE(Last.Done);
  CHECK(Last.Done->Outcome == End::Accepted);
  CHECK(Platform.History.size() == 1);
}

TEST_CASE("Publication reports the winning revision after a write conflict",
          "[publication]") {
  FakePlatform Platform;
  Publication A(parseReleaseNote(noteText(0, "order"), "a.yaml"));
  Publication B(parseReleaseNote(noteText(0, "browse"), "b.yaml"));
  auto StepA = A.onRead(Platform.Text, Platform.version());
  auto StepB = B.onRead(Platform.Text, Platform.version());
  REQUIRE(Platform.write(*StepB.Write));
  REQUIRE_FALSE(Platform.write(*StepA.Write));
  CHECK(A.onWriteConflict().Read);
  auto Last = A.onRead(Platform.Text, Platform.version());
  REQUIRE(Last.Done);
  CHECK(Last.Done->Outcome == End::Refused);
  CHECK(Last.Done->Revision == Revision(1));
  CHECK(Last.Done->Message.find("against: 1") != std::string::npos);
}

TEST_CASE("Publication reports an unknown outcome if it cannot read again",
          "[publication]") {
  FakePlatform Platform;
  Publication P(parseReleaseNote(noteText(0, "order"), "note.yaml"), 2);
  static_cast<void>(P.onRead(Platform.Text, Platform.version()));
  CHECK(P.onWriteLost().Read);
  CHECK(P.onReadFailed().Read);
  auto Last = P.onReadFailed();
  REQUIRE(Last.Done);
  CHECK(Last.Done->Outcome == End::Unknown);
}

TEST_CASE("Publication races accept exactly the notes of the final release",
          "[publication][property]") {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    std::mt19937_64 Random(Seed);
    FakePlatform Platform;
    std::map<std::string, End> Ends;
    constexpr int Operators = 4;
    std::vector<Publication> Racing;
    std::vector<Publication::Step> Steps;
    std::vector<std::string> Ids;
    for (int I = 0; I < Operators; ++I) {
      auto Note = parseReleaseNote(noteText(0, "c" + std::to_string(I)), "n");
      Ids.push_back(Note.PublicationId);
      Racing.emplace_back(Note, 100);
      Steps.push_back(Racing.back().start());
    }
    for (int Unfinished = Operators; Unfinished > 0;) {
      auto I = Random() % Operators;
      auto &Step = Steps[I];
      if (Step.Done)
        continue;
      bool Lost = Random() % 3 == 0;
      if (Step.Write) {
        bool Written =
            (Random() % 4 != 0 || !Lost) && Platform.write(*Step.Write);
        if (Lost)
          Step = Racing[I].onWriteLost();
        else
          Step = Written ? Racing[I].onWritten() : Racing[I].onWriteConflict();
      } else {
        Step = Lost ? Racing[I].onReadFailed()
                    : Racing[I].onRead(Platform.Text, Platform.version());
      }
      if (Step.Done) {
        Ends[Ids[I]] = Step.Done->Outcome;
        --Unfinished;
      }
    }
    INFO("seed " << Seed);
    auto Final = parseRelease(*Platform.Text, "release");
    REQUIRE(Final.Publications.size() == Platform.History.size());
    for (const auto &[Id, Outcome] : Ends) {
      bool Kept = false;
      for (const auto &Record : Final.Publications)
        Kept = Kept || Record.Id == Id;
      REQUIRE(Kept == (Outcome == End::Accepted));
    }
  }
}
