// Admits ten requests of two classes to a target with two slots. Uses only the
// library's decisions, without any I/O.
#include <limpetdrum/Limpetdrum.h>

#include <easylogging++.h>
#include <iostream>

INITIALIZE_EASYLOGGINGPP

int main() {
  using namespace limpetdrum;
  Admission TargetAdmission{Slots(2)};
  TimePoint Now{std::chrono::hours(1)};
  for (std::uint64_t Number = 1; Number <= 10; ++Number) {
    Arrival Request;
    Request.Id = {Incarnation(1), Number};
    Request.Rank = ClassRank(Number % 2 == 0 ? 0 : 1);
    Request.Deadline = Now + std::chrono::seconds(2);
    auto Decisions = TargetAdmission.submit(Request, Now);
    for (const auto &Id : Decisions.Dispatch)
      std::cout << "dispatch " << Id.Sequence << "\n";
    for (const auto &Refusal : Decisions.Refuse)
      std::cout << "refuse " << Refusal.Id.Sequence << ": "
                << toString(Refusal.Reason) << "\n";
  }
}
