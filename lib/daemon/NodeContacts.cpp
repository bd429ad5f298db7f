// Bootstrap of the membership: finds other nodes through contacts, and
// maintains the contacts that the platform lists.
#include "NodeState.h"

#include "limpetdrum/process/Duties.h"
#include "limpetdrum/process/Error.h"

#include <algorithm>
#include <map>

namespace limpetdrum {

namespace {

constexpr std::size_t MaxContacts = 4;
/// Maximum number of contacts in its own failure domain with which a node
/// synchronizes.
constexpr std::size_t MaxLocalContacts = 2;
/// Name of the platform object that lists a few RPC endpoints for each failure
/// domain.
constexpr const char *ContactsObject = "contacts";
/// Number of searches after which the node that maintains its domain's contacts
/// checks them again.
constexpr unsigned SearchesPerCheck = 6;

using ContactMap = std::map<std::string, std::vector<Endpoint>>;

ContactMap parseContacts(const std::string &Text) {
  ContactMap Result;
  auto Parsed = nlohmann::json::parse(Text, nullptr, false);
  if (!Parsed.is_object())
    return Result;
  for (const auto &[Domain, List] : Parsed.items())
    for (const auto &Entry : List)
      try {
        Result[Domain].push_back(parseEndpoint(Entry.get<std::string>()));
      } catch (const std::exception &) {
        continue; // the next write of the list drops a malformed entry
      }
  return Result;
}

std::string serializeContacts(const ContactMap &Contacts) {
  nlohmann::json Result = nlohmann::json::object();
  for (const auto &[Domain, List] : Contacts)
    for (const auto &Contact : List)
      Result[Domain].push_back(toString(Contact));
  return Result.dump();
}

bool contains(const std::vector<Endpoint> &List, Endpoint Value) {
  return std::find(List.begin(), List.end(), Value) != List.end();
}

/// Returns true if as many contacts are listed as wanted, and all of them are
/// alive.
bool covers(const std::vector<Endpoint> &Listed,
            const std::vector<Endpoint> &Wanted) {
  return Listed.size() == Wanted.size() &&
         std::all_of(Listed.begin(), Listed.end(), [&](Endpoint Contact) {
           return contains(Wanted, Contact);
         });
}

} // namespace

void Node::State::synchronizeWith(Endpoint Contact) {
  this->Counters.count("member_synchronizations");
  this->Peers.synchronize(
      Contact, this->Members.list(),
      [this](const std::optional<std::vector<Member>> &PeerMembers) {
        if (PeerMembers)
          this->perform(this->Members.merge(*PeerMembers, this->Now()));
      });
}

void Node::State::searchContacts() {
  bool HasNoPeers = this->Members.others().empty();
  bool CheckDue =
      this->maintainsContacts() && ++this->SearchesSkipped >= SearchesPerCheck;
  if (!HasNoPeers && !CheckDue)
    return;
  this->SearchesSkipped = 0;
  this->findContacts();
}

void Node::State::findContacts() {
  for (const auto &Contact : this->Config.Contacts)
    if (Contact != this->Config.AdvertisedRpc)
      this->synchronizeWith(Contact);
  this->Platform.read(ContactsObject, [this](const PlatformObject &Object) {
    this->onContacts(Object);
  });
}

void Node::State::onContacts(const PlatformObject &Object) {
  if (!Object.HasUsableAnswer)
    return;
  auto Contacts = parseContacts(Object.Value.value_or("{}"));
  for (const auto &Entry : Contacts) {
    std::size_t Remaining = Entry.first == this->Config.FailureDomain.value()
                                ? MaxLocalContacts
                                : 1;
    for (const auto &Contact : Entry.second)
      if (Contact != this->Config.AdvertisedRpc && Remaining > 0) {
        this->synchronizeWith(Contact);
        --Remaining;
      }
  }
  auto Wanted = this->wantedContacts();
  auto &Listed = Contacts[this->Config.FailureDomain.value()];
  bool HasNoPeers = this->Members.others().empty();
  if (HasNoPeers && !contains(Listed, this->Config.AdvertisedRpc))
    Listed.insert(Listed.begin(), this->Config.AdvertisedRpc);
  else if (this->maintainsContacts() && !covers(Listed, Wanted))
    Listed = Wanted;
  else
    return;
  if (Listed.size() > MaxContacts)
    Listed.resize(MaxContacts);
  this->Platform.write(ContactsObject, serializeContacts(Contacts),
                       Object.Version, [this](PlatformWrite Result) {
                         if (Result == PlatformWrite::Conflict)
                           this->findContacts();
                       });
}

std::vector<Endpoint> Node::State::wantedContacts() const {
  std::vector<Endpoint> Wanted = {this->Config.AdvertisedRpc};
  for (const auto &[Node, M] : this->Members.others())
    if (M.FailureDomain == this->Config.FailureDomain &&
        M.Health == Health::Alive && M.Target != TargetState::Left &&
        Wanted.size() < MaxContacts)
      Wanted.push_back(M.Rpc);
  return Wanted;
}

bool Node::State::maintainsContacts() const {
  return holdsDuties(this->Members, 1);
}

} // namespace limpetdrum
