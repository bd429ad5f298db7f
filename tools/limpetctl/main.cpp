#include "limpetdrum/Limpetdrum.h"
#include "limpetdrum/daemon/ReleaseFeed.h"
#include "limpetdrum/process/YamlMap.h"

#include <easylogging++.h>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

INITIALIZE_EASYLOGGINGPP

DEFINE_string(platform, "127.0.0.1:7300", "the platform's object API");
DEFINE_string(node, "127.0.0.1:7404", "the admin address of any node");
DEFINE_string(output, "text", "text or json");

namespace {

using namespace limpetdrum;

/// The exit statuses that the help names.
enum ExitStatus : int {
  Ok = 0,
  Refused = 1,
  Usage = 2,
  Unreachable = 3,
  Unknown = 4,
};

constexpr const char *Help =
    "limpetctl COMMAND [NOTE] [flags]\n\n"
    "  check NOTE    reads a release note and checks it by itself\n"
    "  diff NOTE     what a note would change of what is in force\n"
    "  publish NOTE  publishes a note; repeating it is safe\n"
    "  in-force      the release in force, and how many nodes confirm it\n"
    "  history       the latest publications\n"
    "  status        members, levels and latencies, as one node sees them\n\n"
    "exit status: 0 done, 1 refused, 2 wrong usage or a malformed note,\n"
    "3 platform or node not reached, 4 unknown whether published";

bool asJson() { return FLAGS_output == "json"; }

void print(const nlohmann::json &Value) { std::cout << Value.dump(2) << "\n"; }

/// Runs the loop until one answer has come.
template <typename T, typename Start>
T await(EventLoop &Loop, const Start &Begin) {
  std::optional<T> Result;
  Begin([&](T Value) {
    Result = std::move(Value);
    Loop.stop();
  });
  Loop.run();
  return std::move(*Result);
}

PlatformObject readRelease(EventLoop &Loop, PlatformClient &Platform) {
  return await<PlatformObject>(
      Loop, [&](auto Done) { Platform.read(ReleaseObject, Done); });
}

ReleaseNote loadNote(const std::string &Path) {
  return parseReleaseNote(readFile(Path), Path);
}

int check(const std::string &Path) {
  auto Note = loadNote(Path);
  if (asJson())
    print({{"publication", Note.PublicationId},
           {"against", Note.BaseRevision.value()}});
  else
    std::cout << Path << ": well formed, against revision "
              << Note.BaseRevision.value() << "\n";
  return Ok;
}

int showDifference(const std::string &Path) {
  EventLoop Loop;
  PlatformClient Platform(Loop, parseEndpoint(FLAGS_platform));
  auto Note = loadNote(Path);
  auto Object = readRelease(Loop, Platform);
  if (!Object.Reached)
    throw NetworkError("the platform does not answer",
                       "check --platform, or try later");
  Release Base;
  if (Object.Value)
    Base = parseRelease(*Object.Value, "release");
  auto Lines = difference(Base, applyNote(Base, Note));
  if (asJson()) {
    print(Lines);
    return Ok;
  }
  for (const auto &Line : Lines)
    std::cout << Line << "\n";
  return Ok;
}

/// Drives one publication to its end.
Publication::Done drive(EventLoop &Loop, PlatformClient &Platform,
                        Publication &Deed) {
  constexpr Milliseconds Pause{200};
  auto Step = Deed.start();
  while (!Step.Done) {
    if (Step.Write) {
      auto How = await<PlatformWrite>(Loop, [&](auto Done) {
        Platform.write(ReleaseObject, Step.Write->Text, Step.Write->Version,
                       Done);
      });
      if (How == PlatformWrite::Done)
        Step = Deed.onWritten();
      else if (How == PlatformWrite::Conflict)
        Step = Deed.onWriteConflict();
      else
        Step = Deed.onWriteLost();
      continue;
    }
    auto Object = readRelease(Loop, Platform);
    if (Object.Reached) {
      Step = Deed.onRead(Object.Value, Object.Version);
      continue;
    }
    Step = Deed.onReadFailed();
    auto Wait = Loop.after(Pause, [&Loop]() { Loop.stop(); });
    Loop.run();
  }
  return *Step.Done;
}

int publish(const std::string &Path) {
  EventLoop Loop;
  PlatformClient Platform(Loop, parseEndpoint(FLAGS_platform));
  Publication Deed(loadNote(Path));
  auto End = drive(Loop, Platform, Deed);
  static const std::map<Publication::Outcome, std::pair<const char *, int>>
      Words = {{Publication::Outcome::Accepted, {"accepted", Ok}},
               {Publication::Outcome::Refused, {"refused", Refused}},
               {Publication::Outcome::Unknown, {"unknown", Unknown}}};
  auto [Word, Status] = Words.at(End.Outcome);
  if (asJson())
    print({{"outcome", Word},
           {"revision", End.Revision.value()},
           {"message", End.Message}});
  else if (End.Outcome == Publication::Outcome::Accepted)
    std::cout << "accepted as revision " << End.Revision.value() << "\n";
  else
    std::cerr << Word << ": " << End.Message << "\n";
  return Status;
}

nlohmann::json askNode(const std::string &Path) {
  EventLoop Loop;
  HttpClient Node(Loop, parseEndpoint(FLAGS_node));
  auto Answer = await<HttpResponse>(Loop, [&](auto Done) {
    HttpCall Call;
    Call.Path = Path;
    Call.Timeout = std::chrono::seconds(5);
    Node.send(Call, Done);
  });
  if (Answer.Outcome != HttpOutcome::Answered || Answer.Status != 200)
    throw NetworkError("the node at " + FLAGS_node + " does not answer",
                       "name the admin address of a running node by --node");
  return nlohmann::json::parse(Answer.Body);
}

int showInForce(const std::string & /*Path*/) {
  auto Body = askNode("/in-force");
  if (asJson()) {
    print(Body);
    return Ok;
  }
  std::cout << "revision " << Body["revision"] << ", confirmed by "
            << Body["confirmed"] << " nodes\n";
  for (const auto &Node : Body["lagging"])
    std::cout << "lagging: " << Node["node"].get<std::string>()
              << " at revision " << Node["revision"] << " for "
              << Node["for-ms"] << " ms\n";
  for (const auto &Node : Body["silent"])
    std::cout << "silent: " << Node.get<std::string>() << "\n";
  std::cout << Body["release"].get<std::string>() << "\n";
  return Ok;
}

int showHistory(const std::string & /*Path*/) {
  auto Value = parseRelease(askNode("/in-force")["release"], "release");
  nlohmann::json List = nlohmann::json::array();
  for (const auto &Record : Value.Publications) {
    List.push_back(
        {{"revision", Record.Revision.value()}, {"publication", Record.Id}});
    if (!asJson())
      std::cout << Record.Revision.value() << "  " << Record.Id << "\n";
  }
  if (asJson())
    print(List);
  return Ok;
}

int showStatus(const std::string & /*Path*/) {
  auto Body = askNode("/status");
  if (asJson()) {
    print(Body);
    return Ok;
  }
  std::cout << "node " << Body["node"].get<std::string>() << ", revision "
            << Body["revision"] << ", running " << Body["running"] << "/"
            << Body["limit"] << ", queued " << Body["queued"] << ", threshold "
            << Body["threshold"] << "\n";
  for (const auto &M : Body["members"])
    std::cout << "  " << M["node"].get<std::string>() << "  "
              << M["service"].get<std::string>() << "  "
              << M["failure-domain"].get<std::string>() << "  "
              << M["target"].get<std::string>() << "  "
              << M["health"].get<std::string>() << "\n";
  for (const auto &[Name, Level] : Body["levels"].items())
    std::cout << "  " << Name << " admits positions below " << Level << "\n";
  for (const auto &[Name, Value] : Body["p99-ms"].items())
    std::cout << "  p99 " << Name << ": " << Value << " ms\n";
  return Ok;
}

using Command = int (*)(const std::string &Note);

struct CommandEntry {
  Command Run;
  bool TakesNote;
};

const std::map<std::string, CommandEntry> Commands = {
    {"check", {check, true}},          {"diff", {showDifference, true}},
    {"publish", {publish, true}},      {"in-force", {showInForce, false}},
    {"history", {showHistory, false}}, {"status", {showStatus, false}},
};

} // namespace

int main(int ArgCount, char **Args) {
  gflags::SetUsageMessage(Help);
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  auto Found = Commands.find(ArgCount > 1 ? Args[1] : "");
  bool Right =
      Found != Commands.end() && ArgCount == (Found->second.TakesNote ? 3 : 2);
  if (!Right) {
    std::cerr << Help << "\n";
    return Usage;
  }
  try {
    return Found->second.Run(ArgCount > 2 ? Args[2] : "");
  } catch (const ConflictError &E) {
    std::cerr << E.what() << "\n";
    return Refused;
  } catch (const NetworkError &E) {
    std::cerr << E.what() << "\n";
    return Unreachable;
  } catch (const Error &E) {
    std::cerr << E.what() << "\n";
    return Usage;
  }
}
