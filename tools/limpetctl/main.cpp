#include "limpetdrum/Limpetdrum.h"
#include "limpetdrum/daemon/ReleaseFeed.h"
#include "limpetdrum/process/YamlMap.h"

#include <easylogging++.h>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

INITIALIZE_EASYLOGGINGPP

DEFINE_string(platform, "127.0.0.1:7300",
              "address of the platform's object API");
DEFINE_string(node, "127.0.0.1:7404", "admin address of any node");
DEFINE_string(output, "text", "output format: text or json");

namespace {

using namespace limpetdrum;

/// Exit statuses listed in Help.
enum ExitStatus : int {
  Ok = 0,
  Refused = 1,
  Usage = 2,
  Unreachable = 3,
  Unknown = 4,
};

constexpr const char *Help =
    "limpetctl COMMAND [NOTE] [flags]\n\n"
    "  check NOTE    checks a release note without reading the platform\n"
    "  diff NOTE     prints what a note would change in the platform's "
    "release\n"
    "  publish NOTE  publishes a note; may be repeated safely\n"
    "  in-force      prints the release in force and how many nodes confirm "
    "it\n"
    "  history       lists the latest publications\n"
    "  status        prints members, levels and latencies as seen by one node\n"
    "\n"
    "exit status: 0 success, 1 refused, 2 wrong usage or a malformed note,\n"
    "3 platform or node not reached, 4 outcome of the publication unknown";

const bool OutputIsChecked = gflags::RegisterFlagValidator(
    &FLAGS_output, [](const char * /*Name*/, const std::string &Value) {
      return Value == "text" || Value == "json";
    });

bool asJson() { return FLAGS_output == "json"; }

void print(const nlohmann::json &Value) { std::cout << Value.dump(2) << "\n"; }

/// Starts an operation and runs the loop until it delivers its result.
/// \param Start function that takes the callback for the result.
template <typename T, typename Function>
T await(EventLoop &Loop, const Function &Start) {
  std::optional<T> Result;
  Start([&](T Value) {
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
  if (!Object.HasUsableAnswer)
    throw NetworkError("the platform at " + FLAGS_platform + " does not answer",
                       "check --platform or try again later");
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

/// Performs the reads and writes of a publication until it is done.
Publication::Done runPublication(EventLoop &Loop, PlatformClient &Platform,
                                 Publication &Publisher) {
  constexpr Milliseconds ReadRetryInterval{200};
  auto Step = Publisher.start();
  while (!Step.Done) {
    if (Step.Write) {
      auto Outcome = await<PlatformWrite>(Loop, [&](auto Done) {
        Platform.write(ReleaseObject, Step.Write->Text, Step.Write->Version,
                       Done);
      });
      if (Outcome == PlatformWrite::Done)
        Step = Publisher.onWritten();
      else if (Outcome == PlatformWrite::Conflict)
        Step = Publisher.onWriteConflict();
      else
        Step = Publisher.onWriteLost();
      continue;
    }
    auto Object = readRelease(Loop, Platform);
    if (Object.HasUsableAnswer) {
      Step = Publisher.onRead(Object.Value, Object.Version);
      continue;
    }
    Step = Publisher.onReadFailed();
    auto RetryTimer = Loop.after(ReadRetryInterval, [&Loop]() { Loop.stop(); });
    Loop.run();
  }
  return *Step.Done;
}

int publish(const std::string &Path) {
  EventLoop Loop;
  PlatformClient Platform(Loop, parseEndpoint(FLAGS_platform));
  Publication Publisher(loadNote(Path));
  auto Result = runPublication(Loop, Platform, Publisher);
  static const std::map<Publication::Outcome, std::pair<const char *, int>>
      Outcomes = {{Publication::Outcome::Accepted, {"accepted", Ok}},
                  {Publication::Outcome::Refused, {"refused", Refused}},
                  {Publication::Outcome::Unknown, {"unknown", Unknown}}};
  auto [Name, Status] = Outcomes.at(Result.Outcome);
  if (asJson())
    print({{"outcome", Name},
           {"revision", Result.Revision.value()},
           {"message", Result.Message}});
  else if (Result.Outcome == Publication::Outcome::Accepted)
    std::cout << "accepted as revision " << Result.Revision.value() << "\n";
  else
    std::cerr << Name << ": " << Result.Message << "\n";
  return Status;
}

nlohmann::json fetchFromNode(const std::string &Path) {
  EventLoop Loop;
  HttpClient Node(Loop, parseEndpoint(FLAGS_node));
  auto Response = await<HttpResponse>(Loop, [&](auto Done) {
    HttpCall Call;
    Call.Path = Path;
    Call.Timeout = std::chrono::seconds(5);
    Node.send(Call, Done);
  });
  if (Response.Outcome != HttpOutcome::Answered || Response.Status != 200)
    throw NetworkError("no answer with status 200 from the node at " +
                           FLAGS_node + " within 5 s",
                       "pass the admin address of a running node in --node");
  return nlohmann::json::parse(Response.Body.text());
}

int showInForce(const std::string & /*Path*/) {
  auto Body = fetchFromNode("/in-force");
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
  auto Latest = parseRelease(fetchFromNode("/in-force")["release"], "release");
  nlohmann::json List = nlohmann::json::array();
  for (const auto &Record : Latest.Publications) {
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
  auto Body = fetchFromNode("/status");
  if (asJson()) {
    print(Body);
    return Ok;
  }
  std::cout << "node " << Body["node"].get<std::string>() << ", revision "
            << Body["revision"] << ", running " << Body["running"] << "/"
            << Body["limit"] << ", queued " << Body["queued"] << ", threshold "
            << Body["threshold"] << "\n";
  for (const auto &Member : Body["members"])
    std::cout << "  " << Member["node"].get<std::string>() << "  "
              << Member["service"].get<std::string>() << "  "
              << Member["failure-domain"].get<std::string>() << "  "
              << Member["target"].get<std::string>() << "  "
              << Member["health"].get<std::string>() << "\n";
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
  auto Entry = Commands.find(ArgCount > 1 ? Args[1] : "");
  bool UsageIsValid =
      Entry != Commands.end() && ArgCount == (Entry->second.TakesNote ? 3 : 2);
  if (!UsageIsValid) {
    std::cerr << Help << "\n";
    return Usage;
  }
  try {
    return Entry->second.Run(ArgCount > 2 ? Args[2] : "");
  } catch (const ConflictError &E) {
    std::cerr << E.what() << "\n";
    return Refused;
  } catch (const NetworkError &E) {
    std::cerr << E.what() << "\n";
    return Unreachable;
  } catch (const nlohmann::json::exception &E) {
    std::cerr << "the answer is not that of a node or of the platform ("
              << E.what() << "); pass their addresses in --node and --platform"
              << "\n";
    return Unreachable;
  } catch (const Error &E) {
    std::cerr << E.what() << "\n";
    return Usage;
  }
}
