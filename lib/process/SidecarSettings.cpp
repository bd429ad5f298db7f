#include "limpetdrum/process/SidecarSettings.h"

#include "limpetdrum/process/Error.h"
#include "limpetdrum/process/YamlMap.h"

#include <charconv>

namespace limpetdrum {

namespace {

constexpr std::size_t BytesPerMegabyte = 1000U * 1000U;
/// Below it the process itself would not fit.
constexpr std::uint64_t MinMemoryMegabytes = 64;
constexpr std::uint64_t MaxMemoryMegabytes = 1'000'000;

/// Returns a number from 0 to \p Max, which may have a fraction.
double readNumber(YamlMap &Map, const std::string &Key, unsigned Max,
                  double Default) {
  auto Text = Map.text(Key, std::to_string(Default));
  std::size_t Parsed = 0;
  double Value = -1;
  try {
    Value = std::stod(Text, &Parsed);
  } catch (const std::logic_error &) {
    Parsed = 0;
  }
  if (Parsed == 0 || Parsed != Text.size() || !(Value >= 0 && Value <= Max))
    throw SourceError(Map.location(Key),
                      "'" + Text + "' is not a valid '" + Key +
                          "': expected a number from 0 to " +
                          std::to_string(Max),
                      "write a number such as 0.2");
  return Value;
}

void readListen(SidecarSettings &Result, YamlMap Listen) {
  Result.Outbound = Listen.endpoint("outbound");
  Result.Readiness = Listen.endpoint("readiness");
  Result.Reports = Listen.endpoint("reports");
  Result.Link = Listen.endpoint("link");
  Result.AdvertisedLink = Listen.has("advertised-link")
                              ? Listen.endpoint("advertised-link")
                              : Result.Link;
  Result.Metrics = Listen.endpoint("metrics");
  Listen.rejectUnknownKeys();
}

void readRepeats(SidecarSettings &Result, YamlMap Repeats) {
  constexpr unsigned MaxSlack = 1'000'000;
  Result.RepeatRatio = readNumber(Repeats, "ratio", 1, Result.RepeatRatio);
  Result.RepeatSlack =
      readNumber(Repeats, "slack", MaxSlack, Result.RepeatSlack);
  Result.RepeatWindow = Repeats.duration("window", Result.RepeatWindow);
  Repeats.rejectUnknownKeys();
  if (Result.RepeatWindow <= Milliseconds(0))
    throw SourceError(Repeats.location("window"),
                      "'window' of " +
                          std::to_string(Result.RepeatWindow.count()) +
                          "ms is too short: expected more than 0ms",
                      "write a duration such as 10s");
}

} // namespace

SidecarSettings parseSidecarSettings(const std::string &Text,
                                     const std::string &File) {
  YamlMap Map(parseYaml(Text, File), File);
  SidecarSettings Result;
  Result.Node = NodeId(Map.text("node"));
  Result.Region = Region(Map.text("region"));
  Result.FailureDomain = FailureDomain(Map.text("failure-domain"));
  Result.Service = ServiceName(Map.text("service"));
  Result.Target = Map.endpoint("target");
  Result.FirstStart = Map.choice("first-start", {"false", "true"}, 0) == 1;
  readListen(Result, Map.map("listen"));
  Result.Store = Map.endpoint("store");
  Result.DrainTimeout = Map.duration("drain-timeout", Result.DrainTimeout);
  Result.ExitLimit = Map.duration("exit-limit", Result.ExitLimit);
  Result.MemoryBytes =
      Map.number("memory-mb", MinMemoryMegabytes, MaxMemoryMegabytes,
                 Result.MemoryBytes / BytesPerMegabyte) *
      BytesPerMegabyte;
  readRepeats(Result, Map.map("repeats"));
  Map.rejectUnknownKeys();
  return Result;
}

std::size_t parseMemoryMegabytes(const std::string &Text,
                                 const std::string &Source) {
  std::uint64_t Value = 0;
  const auto *End = Text.data() + Text.size();
  auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End ||
      Value < MinMemoryMegabytes || Value > MaxMemoryMegabytes)
    throw ValueError(
        "'" + Text + "' in " + Source + " is not a valid amount of memory",
        "write whole megabytes from " + std::to_string(MinMemoryMegabytes) +
            " to " + std::to_string(MaxMemoryMegabytes));
  return Value * BytesPerMegabyte;
}

} // namespace limpetdrum
