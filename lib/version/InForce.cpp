#include "limpetdrum/version/InForce.h"

#include <algorithm>
#include <set>

namespace limpetdrum {

namespace {

constexpr const char *SourceName = "release";

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
  for (const auto &Entry : this->Value.Services)
    for (const auto &Route : Entry.second.Routes) {
      CompiledRoute Compiled;
      Compiled.Declared = Route;
      Compiled.Service = Entry.second.Name;
      auto Class = this->Value.Classes.find(Route.Class);
      if (Class != this->Value.Classes.end())
        Compiled.Rank = ClassRank(RankOf(Class->second));
      this->reach(Route.Path, Compiled.Reaches);
      this->Routes.emplace(Route.Path, std::move(Compiled));
    }
}

void CompiledRelease::reach(const std::string &Path,
                            std::vector<ServiceName> &Into) const {
  auto Name = serviceOf(Path);
  if (std::find(Into.begin(), Into.end(), Name) == Into.end())
    Into.push_back(Name);
  const Route *Declared = findRoute(this->Value, Path);
  if (Declared == nullptr)
    return;
  for (const auto &Callee : Declared->Calls)
    this->reach(Callee, Into);
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
