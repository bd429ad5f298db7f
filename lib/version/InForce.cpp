#include "limpetdrum/version/InForce.h"

#include <algorithm>
#include <set>

namespace limpetdrum {

namespace {

constexpr const char *SourceName = "release";

/// The declared calls of a release; each path is visited once for a question.
class CallGraph {
public:
  explicit CallGraph(const Release &Value) : Value(Value) {}

  /// Every service that a request for the path may reach, its own first.
  std::vector<ServiceName> reaches(const std::string &Path) const {
    std::vector<ServiceName> Services;
    std::set<std::string> Seen;
    this->collect(Path, Services, Seen);
    return Services;
  }

  /// The longest chain of calls below the path.
  unsigned levelsBelow(const std::string &Path) {
    auto [Known, New] = this->Levels.emplace(Path, 0);
    const Route *Declared = findRoute(this->Value, Path);
    if (!New || Declared == nullptr)
      return Known->second;
    unsigned Most = 0;
    for (const auto &Callee : Declared->Calls)
      Most = std::max(Most, 1 + this->levelsBelow(Callee));
    return this->Levels[Path] = Most;
  }

private:
  void collect(const std::string &Path, std::vector<ServiceName> &Services,
               std::set<std::string> &Seen) const {
    if (!Seen.insert(Path).second)
      return;
    auto Name = serviceOf(Path);
    if (std::find(Services.begin(), Services.end(), Name) == Services.end())
      Services.push_back(Name);
    const Route *Declared = findRoute(this->Value, Path);
    if (Declared == nullptr)
      return;
    for (const auto &Callee : Declared->Calls)
      this->collect(Callee, Services, Seen);
  }

  const Release &Value;
  std::map<std::string, unsigned> Levels;
};

void addMissing(const std::vector<ServiceName> &Names,
                std::vector<ServiceName> &Into) {
  for (const auto &Name : Names)
    if (std::find(Into.begin(), Into.end(), Name) == Into.end())
      Into.push_back(Name);
}

} // namespace

CompiledRelease::CompiledRelease(std::string Text)
    : Text(std::move(Text)), Value(parseRelease(this->Text, SourceName)) {
  std::set<std::uint8_t> Importances;
  for (const auto &Entry : this->Value.Classes)
    Importances.insert(Entry.second.Importance);
  this->RankCount = Importances.size();
  this->RankNames.resize(this->RankCount);
  auto RankOf = [&](const RequestClass &Class) {
    return static_cast<std::uint8_t>(
        std::distance(Importances.begin(), Importances.find(Class.Importance)));
  };
  for (const auto &[Name, Class] : this->Value.Classes) {
    auto &Joined = this->RankNames[RankOf(Class)];
    Joined += (Joined.empty() ? "" : "/") + Name;
  }
  CallGraph Graph(this->Value);
  for (const auto &Entry : this->Value.Services)
    for (const auto &Route : Entry.second.Routes) {
      CompiledRoute Compiled;
      Compiled.Declared = Route;
      Compiled.Service = Entry.second.Name;
      auto Class = this->Value.Classes.find(Route.Class);
      if (Class != this->Value.Classes.end())
        Compiled.Rank = ClassRank(RankOf(Class->second));
      Compiled.Reaches = Graph.reaches(Route.Path);
      Compiled.CallDepth = Graph.levelsBelow(Route.Path);
      addMissing(Compiled.Reaches, this->Reached[Compiled.Service]);
      this->Routes.emplace(Route.Path, std::move(Compiled));
    }
}

const std::vector<ServiceName> &
CompiledRelease::reachedFrom(const ServiceName &Service) const {
  static const std::vector<ServiceName> None;
  auto Found = this->Reached.find(Service);
  return Found == this->Reached.end() ? None : Found->second;
}

const CompiledRoute *CompiledRelease::route(const std::string &Path) const {
  auto Found = this->Routes.find(Path);
  return Found == this->Routes.end() ? nullptr : &Found->second;
}

std::string CompiledRelease::rankName(ClassRank Rank) const {
  if (Rank.value() >= this->RankNames.size())
    return "none";
  return this->RankNames[Rank.value()];
}

bool InForce::offer(const std::string &Text) {
  auto Offered = std::make_shared<const CompiledRelease>(Text);
  if (this->Current && Offered->revision() <= this->Current->revision())
    return false;
  this->Current = std::move(Offered);
  return true;
}

Revision InForce::revision() const noexcept {
  return this->Current ? this->Current->revision() : Revision(0);
}

} // namespace limpetdrum
