#include "limpetdrum/request/TargetLoad.h"

#include "limpetdrum/process/Error.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace limpetdrum {

namespace {

constexpr std::size_t MinFigures = 3;
constexpr std::size_t MaxFigures = 4;
/// A pace says nothing of later: over a second, it changes several times.
constexpr Milliseconds ReadingLifetime{1000};
/// The mean covers at least this time, before the run time is known.
constexpr Microseconds MinRunTime{10'000};
constexpr double UsualPace = 100; ///< percent

[[noreturn]] void fail(const std::string &Text) {
  throw ValueError("'" + Text + "' is not a valid load",
                   "state running and waiting requests and slots, and the pace "
                   "in percent, as numbers separated by commas");
}

} // namespace

TargetLoad parseTargetLoad(const std::string &Text) {
  std::array<std::uint16_t, MaxFigures> Figures{};
  std::size_t Count = 0;
  const auto *At = Text.data();
  const auto *End = At + Text.size();
  while (true) {
    if (Count == MaxFigures)
      fail(Text);
    auto Parsed = std::from_chars(At, End, Figures[Count++]);
    if (Parsed.ec != std::errc())
      fail(Text);
    At = Parsed.ptr;
    if (At == End)
      break;
    if (*At++ != ',')
      fail(Text);
  }
  TargetLoad Load;
  Load.Running = Figures[0];
  Load.Waiting = Figures[1];
  Load.Slots = Slots(Figures[2]);
  if (Count == MaxFigures)
    Load.Pace = Figures[3];
  if (Count < MinFigures || Figures[2] == 0 || Load.Pace == 0)
    fail(Text);
  return Load;
}

void TargetPace::onReading(std::uint16_t Percent, Microseconds RunTime,
                           TimePoint Now) noexcept {
  this->Last = Percent;
  if (!this->isRecent(Now)) {
    this->Mean = this->Last;
  } else {
    auto Spans = std::chrono::duration<double>(Now - *this->LastReadAt) /
                 std::chrono::duration<double>(std::max(RunTime, MinRunTime));
    this->Mean += (1 - std::exp(-Spans)) * (this->Last - this->Mean);
  }
  this->LastReadAt = Now;
}

bool TargetPace::isRecent(TimePoint Now) const noexcept {
  return this->LastReadAt && Now - *this->LastReadAt <= ReadingLifetime;
}

std::uint16_t TargetPace::percent(TimePoint Now) const noexcept {
  return this->isRecent(Now)
             ? static_cast<std::uint16_t>(std::lround(this->Mean))
             : std::uint16_t(0);
}

std::optional<double> TargetPace::current(TimePoint Now) const noexcept {
  if (!this->isRecent(Now))
    return std::nullopt;
  return this->Last / UsualPace;
}

double TargetPace::factor(TimePoint Now) const noexcept {
  return this->isRecent(Now) ? this->Mean / UsualPace : 1;
}

} // namespace limpetdrum
