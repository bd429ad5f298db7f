#include "limpetdrum/version/InForce.h"

#include <algorithm>
#include <set>

namespace limpetdrum {

namespace {

constexpr const char *SourceName = "release";

/// The declared calls of a release. Each query visits a path at most once.
class CallGraph {
public:
  explicit CallGraph(const Release &Value) : Value(Value) {}

  /// Returns all services that a request for the path may reach, its own first.
  std::vector<ServiceName> reachableServices(const std::string &Path) const {
    std::vector<ServiceName> Services;
    std::set<std::string> Visited;
    this->collect(Path, Services, Visited);
    return Services;
  }

  /// Returns the length of the longest chain of calls below the path.
  unsigned callDepth(const std::string &Path) {
    auto [Found, IsNew] = this->CallDepths.emplace(Path, 0);
    const Route *Declared = findRoute(this->Value, Path);
    if (!IsNew || Declared == nullptr)
      return Found->second;
    unsigned MaxDepth = 0;
    for (const auto &Callee : Declared->Calls)
      MaxDepth = std::max(MaxDepth, 1 + this->callDepth(Callee));
    return this->CallDepths[Path] = MaxDepth;
  }

private:
  void collect(const std::string &Path, std::vector<ServiceName> &Services,
               std::set<std::string> &Visited) const {
    if (!Visited.insert(Path).second)
      return;
    auto Name = serviceOf(Path);
    if (std::find(Services.begin(), Services.end(), Name) == Services.end())
      Services.push_back(Name);
    const Route *Declared = findRoute(this->Value, Path);
    if (Declared == nullptr)
      return;
    for (const auto &Callee : Declared->Calls)
      this->collect(Callee, Services, Visited);
  }

  const Release &Value;
  std::map<std::string, unsigned> CallDepths;
};

void addMissing(const std::vector<ServiceName> &Names,
                std::vector<ServiceName> &Result) {
  for (const auto &Name : Names)
    if (std::find(Result.begin(), Result.end(), Name) == Result.end())
      Result.push_back(Name);
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
    auto &RankName = this->RankNames[RankOf(Class)];
    RankName += (RankName.empty() ? "" : "/") + Name;
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
      Compiled.Reaches = Graph.reachableServices(Route.Path);
      Compiled.CallDepth = Graph.callDepth(Route.Path);
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
