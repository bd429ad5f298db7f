#include "Soak.h"

#include "limpetdrum/process/Error.h"

#include <easylogging++.h>
#include <filesystem>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

INITIALIZE_EASYLOGGINGPP

DEFINE_uint64(seed, 1, "seed of the first run");
DEFINE_uint64(plays, 1, "number of runs, each with the next seed");
DEFINE_uint32(nodes, 9, "number of nodes, each with one target");
DEFINE_uint32(seconds, 20, "seconds with faults in each run");
DEFINE_double(rate, 12, "requests per second and node");
DEFINE_uint32(max_attempts, 3, "targets that a request may be sent to");
DEFINE_uint32(repeat_slack, 20, "repeats that the fleet may make in a window");
DEFINE_uint32(first_port, 26000, "first port; each node uses twelve ports");
DEFINE_string(fault, "",
              "names of the only faults to inject, separated by commas; by "
              "default all");
DEFINE_string(sidecar, "",
              "path of the sidecar; by default in the folder of this program");
DEFINE_string(folder, "",
              "folder for settings and logs; by default a temporary one");
DEFINE_bool(verbose, false,
            "print the events of a run even if all promises are kept");

namespace {

using namespace limpetdrum;

/// \brief Runs one soak and prints its result.
/// \returns the number of broken promises.
std::size_t runSoak(std::uint64_t Seed, const std::string &Program,
                    const std::filesystem::path &Folder) {
  auto RunFolder = Folder / ("seed-" + std::to_string(Seed));
  std::filesystem::remove_all(RunFolder);
  std::filesystem::create_directories(RunFolder);
  EventLoop Loop;
  soak::Soak::Options Options;
  Options.Seed = Seed;
  Options.Nodes = FLAGS_nodes;
  Options.FaultDuration = std::chrono::seconds(FLAGS_seconds);
  Options.RequestsPerNode = FLAGS_rate;
  Options.MaxAttempts = FLAGS_max_attempts;
  Options.RepeatSlack = FLAGS_repeat_slack;
  Options.Program = Program;
  std::istringstream Names(FLAGS_fault);
  for (std::string Name; std::getline(Names, Name, ',');)
    Options.OnlyFaults.push_back(Name);
  Options.Folder = RunFolder.string();
  Options.FirstPort = static_cast<std::uint16_t>(FLAGS_first_port);
  soak::Soak Run(Loop, Options);
  Run.start();
  Loop.run();
  auto Findings = Run.check();
  std::cout << "seed " << Seed << ": " << (Findings.empty() ? "kept" : "broken")
            << "\n";
  if (FLAGS_verbose || !Findings.empty())
    std::cout << Run.summary();
  constexpr unsigned MaxExamples = 5;
  std::map<std::string, unsigned> Counts;
  for (const auto &Finding : Findings)
    if (++Counts[Finding.Promise] <= MaxExamples)
      std::cout << "  BROKEN: " << Finding.Promise << ": " << Finding.Detail
                << "\n";
  for (const auto &[Promise, Count] : Counts)
    if (Count > MaxExamples)
      std::cout << "  " << Promise << ": " << Count << " in all\n";
  if (Findings.empty() && FLAGS_folder.empty())
    std::filesystem::remove_all(RunFolder);
  else
    std::cout << "  logs in " << RunFolder.string() << "\n";
  std::cout.flush();
  return Findings.size();
}

} // namespace

int main(int ArgCount, char **Args) {
  gflags::SetUsageMessage(
      "runs real sidecars under faults and checks the promises to clients and "
      "targets\n"
      "exit status: 0 all promises kept, 1 a promise broken, 2 cannot run");
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  try {
    auto ProgramFolder = std::filesystem::path(Args[0]).parent_path();
    auto Program = FLAGS_sidecar.empty()
                       ? (ProgramFolder / "limpetdrum-sidecar").string()
                       : FLAGS_sidecar;
    auto Folder = FLAGS_folder.empty()
                      ? std::filesystem::temp_directory_path() /
                            ("limpetdrum-soak-" + std::to_string(getpid()))
                      : std::filesystem::path(FLAGS_folder);
    std::size_t Found = 0;
    for (std::uint64_t I = 0; I < FLAGS_plays; ++I)
      Found += runSoak(FLAGS_seed + I, Program, Folder);
    return Found == 0 ? 0 : 1;
  } catch (const Error &E) {
    std::cerr << E.what() << "\n";
    return 2;
  }
}
