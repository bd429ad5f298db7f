#include "limpetdrum/version/Release.h"

#include "ReleaseYaml.h"

#include <algorithm>

namespace limpetdrum {

namespace {

const std::vector<std::string> RunWords = {"once", "idempotent"};

Route readRoute(YamlMap Map, const ServiceName &Owner) {
  Route Result;
  Result.Path = Map.text("path");
  if (serviceOf(Result.Path) != Owner)
    throw SourceError(Map.location("path"),
                      "the path '" + Result.Path +
                          "' does not belong to the service '" + Owner.value() +
                          "'",
                      "begin the path with /" + Owner.value() + "/");
  Result.Method = Map.text("method", Result.Method);
  Result.Class = Map.text("class");
  Result.Runs = static_cast<RunSemantics>(Map.choice("runs", RunWords, 1));
  Result.Retries = static_cast<std::uint16_t>(Map.number("retries", 0, 100, 2));
  Result.ClientRetries =
      static_cast<std::uint16_t>(Map.number("client-retries", 0, 100, 5));
  Result.Deadline = Map.duration("deadline", Result.Deadline);
  Result.Calls = Map.texts("calls");
  Map.rejectUnknownKeys();
  return Result;
}

Service readService(YamlMap Map, const std::string &File) {
  Service Result;
  Result.Name = ServiceName(Map.text("name"));
  for (const auto &Node : Map.list("routes"))
    Result.Routes.push_back(readRoute(YamlMap(Node, File), Result.Name));
  Map.rejectUnknownKeys();
  return Result;
}

RequestClass readClass(YamlMap Map) {
  RequestClass Result;
  Result.Name = Map.text("name");
  Result.Importance =
      static_cast<std::uint8_t>(Map.number("importance", 1, 100));
  Map.rejectUnknownKeys();
  return Result;
}

void writeRoute(YAML::Emitter &Out, const Route &R) {
  Out << YAML::BeginMap << YAML::Key << "path" << YAML::Value << R.Path;
  Out << YAML::Key << "method" << YAML::Value << R.Method;
  Out << YAML::Key << "class" << YAML::Value << R.Class;
  Out << YAML::Key << "runs" << YAML::Value
      << RunWords[static_cast<std::size_t>(R.Runs)];
  Out << YAML::Key << "retries" << YAML::Value << R.Retries;
  Out << YAML::Key << "client-retries" << YAML::Value << R.ClientRetries;
  Out << YAML::Key << "deadline" << YAML::Value
      << std::to_string(R.Deadline.count()) + "ms";
  Out << YAML::Key << "calls" << YAML::Value << YAML::Flow << R.Calls
      << YAML::EndMap;
}

template <typename Map>
void compare(const std::string &Kind, const Map &Old, const Map &New,
             std::vector<std::string> &Lines) {
  for (const auto &[Name, Value] : New) {
    auto Found = Old.find(Name);
    if (Found == Old.end())
      Lines.push_back("+ " + Kind + " " + Name);
    else if (!(Found->second == Value))
      Lines.push_back("~ " + Kind + " " + Name);
  }
  for (const auto &Entry : Old)
    if (New.count(Entry.first) == 0)
      Lines.push_back("- " + Kind + " " + Entry.first);
}

} // namespace

NoteSection impl::readSection(YamlMap &Map, const std::string &File) {
  NoteSection Section;
  for (const auto &Node : Map.list("classes")) {
    YamlMap Entry(Node, File);
    auto Location = Entry.location();
    Section.Classes.push_back({readClass(std::move(Entry)), Location});
  }
  for (const auto &Node : Map.list("services")) {
    YamlMap Entry(Node, File);
    auto Location = Entry.location();
    Section.Services.push_back({readService(std::move(Entry), File), Location});
  }
  return Section;
}

ServiceName serviceOf(const std::string &Path) {
  if (Path.size() < 2 || Path[0] != '/')
    return ServiceName();
  return ServiceName(Path.substr(1, Path.find('/', 1) - 1));
}

std::string toYaml(const Release &Value) {
  YAML::Emitter Out;
  Out << YAML::BeginMap;
  Out << YAML::Key << "revision" << YAML::Value << Value.Revision.value();
  Out << YAML::Key << "classes" << YAML::Value << YAML::BeginSeq;
  for (const auto &[Name, Class] : Value.Classes)
    Out << YAML::Flow << YAML::BeginMap << YAML::Key << "name" << YAML::Value
        << Name << YAML::Key << "importance" << YAML::Value
        << static_cast<int>(Class.Importance) << YAML::EndMap;
  Out << YAML::EndSeq;
  Out << YAML::Key << "services" << YAML::Value << YAML::BeginSeq;
  for (const auto &[Name, Service] : Value.Services) {
    Out << YAML::BeginMap << YAML::Key << "name" << YAML::Value << Name;
    Out << YAML::Key << "routes" << YAML::Value << YAML::BeginSeq;
    for (const auto &Route : Service.Routes)
      writeRoute(Out, Route);
    Out << YAML::EndSeq << YAML::EndMap;
  }
  Out << YAML::EndSeq;
  Out << YAML::Key << "publications" << YAML::Value << YAML::BeginSeq;
  for (const auto &Record : Value.Publications)
    Out << YAML::Flow << YAML::BeginMap << YAML::Key << "id" << YAML::Value
        << YAML::DoubleQuoted << Record.Id << YAML::Key << "revision"
        << YAML::Value << Record.Revision.value() << YAML::EndMap;
  Out << YAML::EndSeq << YAML::EndMap;
  return Out.c_str();
}

Release parseRelease(const std::string &Text, const std::string &File) {
  YamlMap Map(parseYaml(Text, File), File);
  Release Result;
  Result.Revision = Revision(Map.number("revision", 0, UINT64_MAX));
  auto Section = impl::readSection(Map, File);
  for (auto &Class : Section.Classes)
    Result.Classes[Class.Value.Name] = Class.Value;
  for (auto &Service : Section.Services)
    Result.Services[Service.Value.Name.value()] = Service.Value;
  for (const auto &Node : Map.list("publications")) {
    YamlMap Entry(Node, File);
    Result.Publications.push_back(
        {Entry.text("id"), Revision(Entry.number("revision", 0, UINT64_MAX))});
    Entry.rejectUnknownKeys();
  }
  Map.rejectUnknownKeys();
  return Result;
}

const Route *findRoute(const Release &Value, const std::string &Path) {
  auto Found = Value.Services.find(serviceOf(Path).value());
  if (Found == Value.Services.end())
    return nullptr;
  const auto &Routes = Found->second.Routes;
  auto Match = std::find_if(Routes.begin(), Routes.end(),
                            [&](const Route &R) { return R.Path == Path; });
  return Match == Routes.end() ? nullptr : &*Match;
}

std::vector<std::string> difference(const Release &Old, const Release &New) {
  std::vector<std::string> Lines;
  compare("class", Old.Classes, New.Classes, Lines);
  compare("service", Old.Services, New.Services, Lines);
  return Lines;
}

} // namespace limpetdrum
