#include "limpetdrum/version/ReleaseNote.h"

#include "ReleaseYaml.h"
#include "limpetdrum/Config.h"

#include <cstdio>

namespace limpetdrum {

namespace {

/// Publication ids kept in a release. The outcome of a publication whose answer
/// was lost can be determined while its id is among them.
constexpr std::size_t MaxPublicationRecords = 256;

std::vector<Located<std::string>> readNames(YamlMap &Map,
                                            const std::string &Key) {
  std::vector<Located<std::string>> Names;
  for (const auto &Name : Map.texts(Key))
    Names.push_back({Name, Map.location(Key)});
  return Names;
}

const std::string &nameOf(const RequestClass &Value) { return Value.Name; }
const std::string &nameOf(const Service &Value) { return Value.Name.value(); }

template <typename Map, typename T>
void addAll(Map &Entries, const std::vector<Located<T>> &Values,
            const std::string &Kind) {
  for (const auto &[Value, Location] : Values) {
    const std::string &Name = nameOf(Value);
    if (!Entries.emplace(Name, Value).second)
      throw SourceError(Location,
                        "the " + Kind + " '" + Name + "' is already in force",
                        "move it from 'added' to 'changed'");
  }
}

template <typename Map, typename T>
void changeAll(Map &Entries, const std::vector<Located<T>> &Values,
               const std::string &Kind) {
  for (const auto &[Value, Location] : Values) {
    const std::string &Name = nameOf(Value);
    auto Found = Entries.find(Name);
    if (Found == Entries.end())
      throw SourceError(Location,
                        "the " + Kind + " '" + Name + "' is not in force",
                        "move it from 'changed' to 'added'");
    Found->second = Value;
  }
}

template <typename Map>
void withdrawAll(Map &Entries, const std::vector<Located<std::string>> &Names,
                 const std::string &Kind) {
  for (const auto &[Name, Location] : Names)
    if (Entries.erase(Name) == 0)
      throw SourceError(Location,
                        "the " + Kind + " '" + Name + "' is not in force",
                        "remove it from 'withdrawn'");
}

/// Returns the position at which the note declares a service, for errors about
/// the resulting release. Falls back to a withdrawn entry, then to the note.
SourceLocation locationOf(const ReleaseNote &Note, const std::string &Name) {
  for (const auto *Section : {&Note.Added, &Note.Changed})
    for (const auto &Service : Section->Services)
      if (Service.Value.Name.value() == Name)
        return Service.Location;
  for (const auto *Names : {&Note.WithdrawnServices, &Note.WithdrawnClasses})
    if (!Names->empty())
      return Names->front().Location;
  return Note.Location;
}

/// Validates the classes and calls of all routes, depth first.
class CallGraphCheck {
public:
  CallGraphCheck(const Release &Value, const ReleaseNote &Note)
      : Value(Value), Note(Note) {}

  void run() {
    for (const auto &[Name, Service] : this->Value.Services)
      for (const auto &Route : Service.Routes) {
        this->checkClass(Name, Route);
        this->visit(Name, Route.Path);
      }
  }

private:
  enum class VisitState : std::uint8_t { NotVisited, InProgress, Done };

  void checkClass(const std::string &Name, const Route &R) const {
    if (this->Value.Classes.count(R.Class) == 0)
      throw SourceError(locationOf(this->Note, Name),
                        "the route '" + R.Path + "' has the class '" + R.Class +
                            "', which is not in force",
                        "add the class, or do not withdraw it");
  }

  void visit(const std::string &Caller, const std::string &Path) {
    const Route *R = findRoute(this->Value, Path);
    if (R == nullptr)
      throw SourceError(locationOf(this->Note, Caller),
                        "the service '" + Caller + "' calls the route '" +
                            Path + "', which is not in force",
                        "add the route, or remove the call first");
    auto &State = this->VisitStates[Path];
    if (State == VisitState::InProgress)
      throw SourceError(locationOf(this->Note, Caller),
                        "the route '" + Path +
                            "' calls itself through the service '" + Caller +
                            "'",
                        "remove one of the calls in this cycle");
    if (State == VisitState::Done)
      return;
    State = VisitState::InProgress;
    for (const auto &Callee : R->Calls)
      this->visit(serviceOf(Path).value(), Callee);
    this->VisitStates[Path] = VisitState::Done;
  }

  const Release &Value;
  const ReleaseNote &Note;
  std::map<std::string, VisitState> VisitStates;
};

} // namespace

ConflictError::ConflictError(const ReleaseNote &Note, Revision InForce)
    : SourceError(Note.Location,
                  "the note is against revision " +
                      std::to_string(Note.BaseRevision.value()) +
                      ", but revision " + std::to_string(InForce.value()) +
                      " is in force",
                  "read that revision with 'limpetctl in-force', adapt the "
                  "note and write 'against: " +
                      std::to_string(InForce.value()) + "'") {}

ReleaseNote parseReleaseNote(const std::string &Text, const std::string &File) {
  YamlMap Map(parseYaml(Text, File), File);
  ReleaseNote Note;
  Note.Location = Map.location();
  Note.BaseRevision = Revision(Map.number("against", 0, UINT64_MAX));
  char Id[33];
  std::snprintf(Id, sizeof(Id), "%016llx%016llx",
                static_cast<unsigned long long>(stableHash(Text, 1)),
                static_cast<unsigned long long>(stableHash(Text, 2)));
  Note.PublicationId = Id;
  auto Added = Map.map("added");
  Note.Added = impl::readSection(Added, File);
  Added.rejectUnknownKeys();
  auto Changed = Map.map("changed");
  Note.Changed = impl::readSection(Changed, File);
  Changed.rejectUnknownKeys();
  auto Withdrawn = Map.map("withdrawn");
  Note.WithdrawnClasses = readNames(Withdrawn, "classes");
  Note.WithdrawnServices = readNames(Withdrawn, "services");
  Withdrawn.rejectUnknownKeys();
  Map.rejectUnknownKeys();
  return Note;
}

Release applyNote(const Release &Base, const ReleaseNote &Note) {
  if (Base.Revision != Note.BaseRevision)
    throw ConflictError(Note, Base.Revision);
  Release Next = Base;
  Next.Revision = Revision(Base.Revision.value() + 1);
  addAll(Next.Classes, Note.Added.Classes, "class");
  addAll(Next.Services, Note.Added.Services, "service");
  changeAll(Next.Classes, Note.Changed.Classes, "class");
  changeAll(Next.Services, Note.Changed.Services, "service");
  withdrawAll(Next.Services, Note.WithdrawnServices, "service");
  withdrawAll(Next.Classes, Note.WithdrawnClasses, "class");
  CallGraphCheck(Next, Note).run();
  Next.Publications.push_back({Note.PublicationId, Next.Revision});
  if (Next.Publications.size() > MaxPublicationRecords)
    Next.Publications.erase(Next.Publications.begin());
  auto Size = toYaml(Next).size();
  if (Size > MaxPlatformValueBytes)
    throw SourceError(Note.Location,
                      "the release would take " + std::to_string(Size) +
                          " bytes, more than the limit of " +
                          std::to_string(MaxPlatformValueBytes) +
                          " bytes for a value at the platform",
                      "withdraw classes or services, or shorten names");
  return Next;
}

} // namespace limpetdrum
